//! Latency that an entry host adds to a call, and its throughput per processor core.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::BodyExt;
use oleanderspan_node::{
    entry::front::LOCATE_PATH,
    http::{
        Body,
        client::{Client, Protocol},
        header as names,
    },
};

use crate::deployment::{Deployment, Ports};

/// Sequential calls for each latency measurement.
const LATENCY_CALLS: usize = 4_000;

/// Unmeasured calls before a latency measurement, which set up connections.
const WARM_UP_CALLS: usize = 200;

/// Concurrent clients for each throughput measurement.
const CONCURRENT_CLIENTS: usize = 32;

/// Duration of a throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(4);

/// Clock ticks per second in `/proc`; Linux always reports process times in this unit.
const TICKS_PER_SECOND: f64 = 100.0;

/// Latencies of calls to one target, in nanoseconds.
#[derive(Debug)]
pub struct Latency {
    name: &'static str,
    histogram: Histogram<u64>,
}

/// Successful calls to one target and the processor time that the entry hosts spent on them.
#[derive(Debug)]
pub struct Throughput {
    name: &'static str,
    calls: u64,
    cpu_seconds: f64,
}

/// Results of a cost run; `Display` prints them as tables.
#[derive(Debug)]
pub struct Cost {
    latencies: Vec<Latency>,
    throughputs: Vec<Throughput>,
}

/// Address, `Host` header and path of a measured call.
#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    authority: String,
    path: &'static str,
}

/// Measures a running deployment. `pids` must name all of its live entry hosts, as their processor
/// time is divided by the calls; fails if a latency call does not succeed.
pub async fn run(deployment: &Deployment, ports: Ports, pids: &[u32]) -> io::Result<Cost> {
    let service = deployment.services[0].name;
    let authority = format!("{service}.{}.example", deployment.name);
    let target = |address, path| Target { address, authority: authority.clone(), path };
    let direct = target(ports.server(0), "/cost");
    let (local, remote) = (target(ports.caller(1), "/cost"), target(ports.caller(2), "/cost"));
    let locate = target(ports.caller(1), LOCATE_PATH);
    let latencies = vec![
        latency("direct to the server", &direct).await?,
        latency("through host 1", &local).await?,
        latency("through host 2", &remote).await?,
        latency("locate at host 1", &locate).await?,
    ];
    let throughputs = vec![
        throughput("requests through host 1", &local, pids).await?,
        throughput("requests through host 2", &remote, pids).await?,
        throughput("locate at host 1", &locate, pids).await?,
    ];
    Ok(Cost { latencies, throughputs })
}

async fn call(client: &Client, target: &Target) -> io::Result<()> {
    let uri = format!("http://{}{}", target.address, target.path);
    let request = Request::get(uri)
        .header(header::HOST, names::value(&target.authority))
        .header("lab-run-ms", "0")
        .body(Body::empty())
        .map_err(io::Error::other)?;
    let answer = client.send(request).await.map_err(io::Error::other)?;
    let status = answer.status();
    answer.into_body().collect().await.map_err(io::Error::other)?;
    match status.is_success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("{} answered {status}", target.address))),
    }
}

async fn latency(name: &'static str, target: &Target) -> io::Result<Latency> {
    let client = Client::new(Protocol::Http1);
    for _ in 0..WARM_UP_CALLS {
        call(&client, target).await?;
    }
    let mut histogram = Histogram::new(3).map_err(io::Error::other)?;
    for _ in 0..LATENCY_CALLS {
        let start = Instant::now();
        call(&client, target).await?;
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        histogram.record(nanos).map_err(io::Error::other)?;
    }
    Ok(Latency { name, histogram })
}

async fn throughput(name: &'static str, target: &Target, pids: &[u32]) -> io::Result<Throughput> {
    let before = cpu_seconds(pids)?;
    let target = Arc::new(target.clone());
    let until = Instant::now() + THROUGHPUT_DURATION;
    let clients: Vec<_> = (0..CONCURRENT_CLIENTS)
        .map(|_| tokio::spawn(count_calls_until(Arc::clone(&target), until)))
        .collect();
    let mut calls = 0;
    for client in clients {
        calls += client.await.map_err(io::Error::other)?;
    }
    Ok(Throughput { name, calls, cpu_seconds: cpu_seconds(pids)? - before })
}

/// Sends sequential calls until `until` and returns how many succeeded; refusals are not counted.
async fn count_calls_until(target: Arc<Target>, until: Instant) -> u64 {
    let client = Client::new(Protocol::Http1);
    let mut calls = 0;
    while Instant::now() < until {
        calls += u64::from(call(&client, &target).await.is_ok());
    }
    calls
}

/// Total user and system time of the processes, in seconds.
fn cpu_seconds(pids: &[u32]) -> io::Result<f64> {
    let mut ticks = 0;
    for pid in pids {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The command name in parentheses may contain spaces; user and system time are the 12th
        // and 13th fields after it.
        let fields = stat.rsplit(") ").next().unwrap_or("").split(' ').skip(11).take(2);
        ticks += fields.filter_map(|field| field.parse::<u64>().ok()).sum::<u64>();
    }
    Ok(ticks as f64 / TICKS_PER_SECOND)
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<26} {:>9} {:>9}", "latency of one call", "p50 us", "p99 us")?;
        for latency in &self.latencies {
            let micros = |quantile| latency.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            writeln!(f, "{:<26} {:>9.0} {:>9.0}", latency.name, micros(0.5), micros(0.99))?;
        }
        writeln!(f, "{:<26} {:>9} {:>14}", "throughput", "calls/s", "calls/core-s")?;
        for throughput in &self.throughputs {
            let calls = throughput.calls as f64;
            let rate = calls / THROUGHPUT_DURATION.as_secs_f64();
            let per_core_second = calls / throughput.cpu_seconds;
            writeln!(f, "{:<26} {rate:>9.0} {per_core_second:>14.0}", throughput.name)?;
        }
        Ok(())
    }
}
