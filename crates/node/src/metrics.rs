//! StatsD metrics over UDP; `docs/operators/metrics.md` lists names and units.

use std::{io, net::UdpSocket, sync::Arc};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::settings;

/// Capacity of the send queue; further datagrams are dropped.
const QUEUE_DATAGRAMS: usize = 4096;

/// Creates the metrics client of a process; without settings it discards all metrics. Fails if the
/// UDP socket cannot be set up.
pub fn start(settings: Option<&settings::metrics::Metrics>) -> io::Result<Arc<StatsdClient>> {
    let Some(settings) = settings else {
        return Ok(Arc::new(StatsdClient::from_sink("oleanderspan", NopMetricSink)));
    };
    let any = if settings.address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let datagrams = UdpMetricSink::from(settings.address, socket).map_err(io::Error::other)?;
    let queued = QueuingMetricSink::with_capacity(datagrams, QUEUE_DATAGRAMS);
    Ok(Arc::new(StatsdClient::from_sink(&settings.prefix, queued)))
}
