//! Shares recorded in the platform's table, from which the system resumes after the loss of all
//! hosts.

use oleanderspan::{
    document::Version,
    entry::rank,
    prelude::*,
    shift::{Statement, controller::Recorded},
};
use slog::debug;

use crate::{
    codec,
    control::State,
    store::{self, Expect, Transaction, Write},
    wire,
};

/// Mean interval between two reads of the recorded shares while none are in force.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Mean interval between two checks whether the recorded shares are still those in force.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the recorded shares while none are in force on this host. Afterwards records those in
/// force if this host has the highest rank among the live ones. Runs without end.
pub async fn record(state: State) {
    let mut stored: Option<(Version, String)> = None;
    loop {
        let is_initializing = !state.lock().shares.controller.is_in_force();
        let interval = if is_initializing { LOAD_INTERVAL } else { RECORD_INTERVAL };
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
        let result = match is_initializing {
            true => load_recorded(&state).await,
            false if is_recorder(&state) => write_if_changed(&state, &mut stored).await,
            false => Ok(()),
        };
        if let Err(error) = result {
            stored = None;
            debug!(state.log, "reading or recording shares in the table failed; will be retried";
                "error" => %error);
        }
    }
}

async fn load_recorded(state: &State) -> Result<(), store::Error> {
    if *state.lock().shares.controller.recorded() != Recorded::Unknown {
        return Ok(());
    }
    let recorded = match read(state).await? {
        None => Recorded::Nothing,
        Some((_, text)) => {
            let raw: wire::Shares = codec::from_json(text.as_bytes())?;
            let statement = Statement::try_from(&raw);
            Recorded::Shares(statement.map_err(|error| store::Error::Protocol(error.to_string()))?)
        }
    };
    state.lock().shares.controller.set_recorded(recorded);
    state.changed.notify_one();
    Ok(())
}

/// Writes the shares in force unless the row already has them. After a write that failed or was not
/// answered, the next call reads the row again.
async fn write_if_changed(
    state: &State,
    stored: &mut Option<(Version, String)>,
) -> Result<(), store::Error> {
    let Some(shares) = state.lock().shares.message() else { return Ok(()) };
    let value = String::from_utf8_lossy(&codec::to_json(&shares)?).into_owned();
    if stored.is_none() {
        *stored = read(state).await?;
    }
    if stored.as_ref().is_some_and(|(_, text)| *text == value) {
        return Ok(());
    }
    let version = stored.take().map(|(version, _)| version);
    let expect = version.map_or(Expect::Absent, |version| Expect::Version(version.0));
    let write = Write { key: row_key(state), expect, value: value.clone() };
    state.store.transact(&Transaction { writes: vec![write] }).await?;
    *stored = Some((version.unwrap_or(Version::NONE).next(), value));
    Ok(())
}

async fn read(state: &State) -> Result<Option<(Version, String)>, store::Error> {
    let rows = state.store.read(vec![row_key(state)]).await?;
    Ok(rows.into_iter().next().map(|row| (Version(row.version), row.value)))
}

fn row_key(state: &State) -> String {
    format!("shares/{}", state.settings.environment)
}

/// Whether this host has the highest rank for the row among the live hosts.
fn is_recorder(state: &State) -> bool {
    let own = state.settings.host.name.as_str();
    let mut hosts = state.registry.hosts();
    hosts.retain(|host| host.state == wire::HostState::Live);
    let first = rank::highest(&hosts, &row_key(state), |host| &host.name);
    first.is_some_and(|first| first.name == own)
}
