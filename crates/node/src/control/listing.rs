//! The platform's list of backend servers, which lags and may be away.

use oleanderspan::prelude::*;
use slog::debug;

use crate::control::State;

/// The mean time between two looks at the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the list for ever; while the platform is away the last one stays in force.
pub async fn watch(state: State) {
    loop {
        match state.store.list().await {
            Ok(list) => take_over(&state, list),
            Err(error) => debug!(state.log, "list not read"; "error" => %error),
        }
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

fn take_over(state: &State, list: crate::store::List) {
    for server in list.servers.iter().filter(|server| server.leaving) {
        state.note_leaving(&server.name, server.incarnation);
    }
    let mut inner = state.lock();
    if inner.list != list {
        inner.list = list;
        drop(inner);
        state.changed.notify_one();
    }
}
