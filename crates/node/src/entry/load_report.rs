//! Periodic load reports to the control daemon of this host, which passes them on to other hosts.

use bytes::Bytes;
use http::Request;
use oleanderspan::{prelude::*, region, service};
use slog::debug;

use crate::{
    codec,
    entry::{State, state::Snapshot},
    http::Body,
    wire,
};

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The timeout for sending a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends load reports to the control daemon at `control` until the task is aborted.
pub async fn run(state: State, control: SocketAddr) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let Some(snapshot) = state.snapshot() else { continue };
        let observation = wire::Observation { loads: Some(loads(&snapshot)), ..Default::default() };
        let Ok(body) = codec::to_wire(&observation) else { continue };
        let request = Request::post(format!("http://{control}/observe"));
        let Ok(request) = request.body(Body::from(Bytes::from(body))) else { continue };
        if let Err(error) = state.control.call(request, REPORT_TIMEOUT).await {
            debug!(state.log, "load report to control daemon failed; skipped"; "error" => %error);
        }
    }
}

/// The load of each service and region that this host dispatches, or where requests that it
/// dispatched before are still in flight.
fn loads(snapshot: &Snapshot) -> Vec<wire::Load> {
    let document = &snapshot.document;
    let services = (0u16..).map(service::Index).zip(&document.services);
    let loads = services.flat_map(|(index, service)| {
        let regions = (0u16..).map(region::Index).zip(&document.regions);
        regions.filter_map(move |(region_index, region)| {
            let dispatcher = snapshot.dispatcher(index, region_index);
            let dispatches = dispatcher.is_some_and(|host| snapshot.is_own(host));
            let pool = snapshot.pool(index, region_index);
            let in_flight = pool.limiter().in_flight();
            let queued = u32::try_from(pool.queued()).unwrap_or(u32::MAX);
            // Requests that were queued before another host took over are still served here.
            let dispatches = dispatches || queued > 0;
            (dispatches || in_flight > 0).then(|| wire::Load {
                service: service.name.to_string(),
                region: region.name.to_string(),
                limit: pool.limiter().limit(),
                queued,
                dispatches,
                in_flight,
            })
        })
    });
    loads.collect()
}
