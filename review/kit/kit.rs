//! Stand-ins for the review's scripts: a store, instances, clients and gateway processes. Only the
//! standard library is used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------------------------------- record

/// Writes `record.txt`: one line for everything that was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("record.txt cannot be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.now_ms());
        self.line(text);
    }
}

// ------------------------------------------------------------------------------------------ json

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_json(bytes, at)?.text().to_owned();
                        skip_space(bytes, at);
                        *at += 1; // The colon.
                        fields.insert(key, parse_json(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_json(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        // The system's own calls escape nothing else.
                        text.push(*bytes.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| matches!(b, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * i)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ------------------------------------------------------------------------------------------ http

/// A request as it arrived, with its decoded body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Some(())
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.take(end + 4)?).into_owned();
                let mut lines = head.lines();
                let first = lines.next()?.to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    fields.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
                return Some((first, headers.collect()));
            }
            self.fill()?;
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.take(end + 2)?;
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> Option<Vec<u8>> {
        let is_chunked = find_header(headers, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Some(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        match find_header(headers, "content-length") {
            Some(length) => self.take(length.parse().ok()?),
            None if to_end => {
                while self.fill().is_some() {}
                Some(std::mem::take(&mut self.buffer))
            }
            None => Some(Vec::new()),
        }
    }

    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let body = self.body(&headers, false)?;
        Some(Request { method, target, headers, body })
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Sleeps for `time`, but only until the peer has closed; returns whether it has not.
    pub fn work(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if self.is_closed() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(ms(5)));
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

fn listen(port: u16) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("no free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves each connection on a thread of its own, as long as `is_up` is set.
fn serve(listener: TcpListener, is_up: Arc<AtomicBool>, handle: impl Fn(Wire) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !is_up.load(Ordering::SeqCst) {
                return;
            }
            let handle = Arc::clone(&handle);
            let spawned = thread::Builder::new().stack_size(256 << 10);
            let _ = spawned.spawn(move || handle(Wire::new(stream)));
        }
    });
}

// ----------------------------------------------------------------------------------------- store

type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Default)]
struct StoreState {
    rows: Rows,
    version: u64,
}

/// A store as PROTOCOL.md describes it, without the object calls.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Store {
        let (listener, address) = listen(0);
        let store = Store { address, state: Arc::default(), is_silent: Arc::default() };
        let server = store.clone();
        serve(listener, Arc::new(AtomicBool::new(true)), move |wire| server.serve(wire));
        store
    }

    /// While the store is silent, calls that arrive are lost. One that arrived before is answered
    /// afterwards.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(vec![(table.to_owned(), key.to_owned(), Some(base64(value.as_bytes())))])
    }

    pub fn delete(&self, table: &str, key: &str) -> u64 {
        self.write(vec![(table.to_owned(), key.to_owned(), None)])
    }

    /// Whether the row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|(value, _)| value.is_some())
    }

    fn write(&self, changes: Vec<(String, String, Option<String>)>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (table, key, value) in changes {
            state.rows.insert((table, key), (value, version));
        }
        self.state.1.notify_all();
        version
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(request) = wire.request() {
            if self.is_silent.load(Ordering::SeqCst) {
                // The call is lost, and the connection delivers nothing further.
                while !wire.is_closed() {
                    thread::sleep(ms(50));
                }
                return;
            }
            thread::sleep(ms(4));
            let (status, body) = self.answer(&request);
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(ms(5));
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if !wire.send(answer.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        match request.target.split('?').next().unwrap_or("") {
            "/v1/rows-get" => {
                let state = self.state.0.lock().unwrap();
                let from = request.query("from").unwrap_or_default();
                let limit = request.query("limit").and_then(|limit| limit.parse().ok());
                let limit: usize = limit.unwrap_or(500).min(500);
                let of_table = state.rows.iter().filter(|((of, key), (value, _))| {
                    *of == table && *key >= from && value.is_some()
                });
                let mut rows: Vec<String> = of_table.take(limit + 1).map(row).collect();
                let has_more = rows.len() > limit;
                rows.truncate(limit);
                ("200 OK", page(&rows, has_more, state.version))
            }
            "/v1/rows-feed" => {
                let after: u64 = request.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(wait.min(30_000));
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let changed = state
                        .rows
                        .iter()
                        .filter(|((of, _), (_, version))| *of == table && *version > after);
                    let mut changed: Vec<_> = changed.collect();
                    changed.sort_by_key(|(_, (_, version))| *version);
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        let rows: Vec<String> = changed.into_iter().map(row).collect();
                        return ("200 OK", page(&rows, false, state.version));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let call = Json::parse(&String::from_utf8_lossy(&request.body));
                let Some(call) = call else { return ("400 Bad Request", String::new()) };
                let puts = call.get("puts").list().iter().map(|put| {
                    let (table, key) = (put.get("table").text(), put.get("key").text());
                    (table.to_owned(), key.to_owned(), Some(put.get("value").text().to_owned()))
                });
                let deletes = call.get("deletes").list().iter().map(|delete| {
                    let (table, key) = (delete.get("table").text(), delete.get("key").text());
                    (table.to_owned(), key.to_owned(), None)
                });
                let version = self.write(puts.chain(deletes).collect());
                ("200 OK", format!("{{\"ver\":{version},\"now_ms\":1}}"))
            }
            _ => ("404 Not Found", String::new()),
        }
    }
}

fn row((place, (value, version)): (&(String, String), &(Option<String>, u64))) -> String {
    let (table, key) = place;
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
}

fn page(rows: &[String], has_more: bool, version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":1}}")
}

// ------------------------------------------------------------------------------------- instances

/// What an instance does with a request that it has a slot for.
pub enum Act {
    /// Runs it for this time and answers with 200.
    Run(Duration),
    /// Turns it away with 503 and `Not-Executed`, with these header lines besides.
    Shed(String),
    /// Handles the connection itself; returns whether it stays open. The runs are recorded by the
    /// closure.
    Own(Box<dyn FnOnce(&Instance, &mut Wire, &Request) -> bool + Send>),
}

/// An instance. It runs `slots` requests at once, queues a few more and drops a request whose
/// connection closes.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: u64,
    pub record: Record,
    decide: Arc<dyn Fn(&Request) -> Act + Send + Sync>,
    busy: Arc<(Mutex<(u32, u32)>, Condvar)>,
    pub runs: Arc<Mutex<Vec<String>>>,
    pub header_lines: Arc<Mutex<String>>,
    pub is_up: Arc<AtomicBool>,
}

const QUEUE: u32 = 9;

impl Instance {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        decide: impl Fn(&Request) -> Act + Send + Sync + 'static,
    ) -> Instance {
        let (listener, address) = listen(0);
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let instance = Instance {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            born: born.as_millis() as u64,
            record: record.clone(),
            decide: Arc::new(decide),
            busy: Arc::default(),
            runs: Arc::default(),
            header_lines: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
        };
        let server = instance.clone();
        serve(listener, Arc::clone(&instance.is_up), move |wire| server.serve(wire));
        instance
    }

    /// The entry that the instance writes as its `sequence`-th heartbeat.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        self.cold_entry(state, sequence, 0)
    }

    /// Such an entry of an instance that is cold for so long.
    pub fn cold_entry(&self, state: &str, sequence: u64, cold_ms: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"cold_remaining_ms\":{cold_ms}}}}}",
            self.address, self.born, self.service, self.zone, self.slots
        )
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(request) = wire.request() {
            if !self.is_up.load(Ordering::SeqCst) || !self.respond(&mut wire, &request) {
                return;
            }
        }
    }

    fn respond(&self, wire: &mut Wire, request: &Request) -> bool {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let extra = self.header_lines.lock().unwrap().clone();
        let refuse = |wire: &mut Wire, status: &str, lines: &str| {
            let answer = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{lines}{extra}\
                 Content-Length: 0\r\n\r\n"
            );
            wire.send(answer.as_bytes())
        };
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            self.record.line(&format!("instance {} got {id} for another: 421", self.id));
            return refuse(wire, "421 Misdirected Request", "");
        }
        let act = (self.decide)(request);
        if let Act::Shed(lines) = &act {
            let said = lines.replace("\r\n", " ");
            self.record.line(&format!("instance {} turned {id} away: 503 {said}", self.id));
            return refuse(wire, "503 Service Unavailable", lines);
        }
        if !self.take_slot() {
            self.record.line(&format!("instance {} is full, turned {id} away: 503", self.id));
            return refuse(wire, "503 Service Unavailable", "");
        }
        let keeps_open = match act {
            Act::Run(time) => {
                self.note_run(&id);
                self.work(wire, time) && {
                    self.record.line(&format!("instance {} answered {id}", self.id));
                    let answer = self.success(&id, &extra);
                    wire.send(answer.as_bytes())
                }
            }
            Act::Own(act) => act(self, wire, request),
            Act::Shed(_) => true,
        };
        self.free_slot();
        keeps_open
    }

    /// Works for `time`; returns whether neither the caller nor the instance has gone meanwhile.
    fn work(&self, wire: &Wire, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !wire.work(left.min(ms(10))) || !self.is_up.load(Ordering::SeqCst) {
                return false;
            }
            if left.is_zero() {
                return true;
            }
        }
    }

    /// Ends the instance: what it runs is cut, and its port refuses connections from now on.
    pub fn end(&self) {
        if self.is_up.swap(false, Ordering::SeqCst) {
            // Wakes the thread that accepts connections.
            let _ = TcpStream::connect(self.address);
        }
    }

    pub fn note_run(&self, id: &str) {
        self.runs.lock().unwrap().push(id.to_owned());
        self.record.line(&format!("instance {} runs {id}", self.id));
    }

    pub fn success(&self, id: &str, lines: &str) -> String {
        let body = format!("{id} done by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}.{id}\r\n{lines}\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }

    fn take_slot(&self) -> bool {
        let mut busy = self.busy.0.lock().unwrap();
        if busy.0 >= self.slots {
            if busy.1 >= QUEUE {
                return false;
            }
            busy.1 += 1;
            while busy.0 >= self.slots {
                busy = self.busy.1.wait(busy).unwrap();
            }
            busy.1 -= 1;
        }
        busy.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.busy.0.lock().unwrap().0 -= 1;
        self.busy.1.notify_one();
    }
}

/// Writes the heartbeats of instances until `stop` is set. Each is a change of its row.
pub fn heartbeats(store: &Store, instances: &[Instance], stop: &Arc<AtomicBool>) {
    let (store, instances) = (store.clone(), instances.to_vec());
    instances.iter().for_each(|instance| {
        store.put("servers", &instance.id, &instance.entry("ready", 1));
    });
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let mut sequence = 1;
        loop {
            thread::sleep(ms(1_500));
            if stop.load(Ordering::SeqCst) {
                return;
            }
            sequence += 1;
            for instance in instances.iter().filter(|one| one.is_up.load(Ordering::SeqCst)) {
                store.put("servers", &instance.id, &instance.entry("ready", sequence));
            }
        }
    });
}

// --------------------------------------------------------------------------------------- clients

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_whole: bool,
    /// Why there was no whole answer.
    pub fault: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// The head of a request with the headers that clients of the pages send.
pub fn head(method: &str, target: &str, id: &str, deadline_ms: u64, lines: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: bureau.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {deadline_ms}\r\n{lines}"
    )
}

/// Reads an answer until `deadline`.
pub fn read_answer(wire: &mut Wire, sent: Instant, deadline: Duration) -> Answer {
    let left = deadline.saturating_sub(sent.elapsed()).max(ms(1));
    let _ = wire.stream.set_read_timeout(Some(left));
    let Some((first, headers)) = wire.head() else {
        let took = sent.elapsed();
        let fault = if took >= deadline { "no answer until the deadline" } else { "closed without an answer" };
        return Answer { fault: fault.to_owned(), took, ..Answer::default() };
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let left = deadline.saturating_sub(sent.elapsed()).max(ms(1));
    let _ = wire.stream.set_read_timeout(Some(left));
    let body = wire.body(&headers, true);
    let (is_whole, fault) = match body {
        Some(_) => (true, String::new()),
        None => (false, "the answer breaks off".to_owned()),
    };
    let body = body.unwrap_or_default();
    Answer { status, headers, body, is_whole, fault, took: sent.elapsed() }
}

/// Sends one request on a connection of its own.
pub fn send(
    gateway: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Answer {
    let sent = Instant::now();
    let Ok(stream) = TcpStream::connect_timeout(&gateway, ms(1_000)) else {
        let fault = "no connection".to_owned();
        return Answer { fault, took: sent.elapsed(), ..Answer::default() };
    };
    let mut wire = Wire::new(stream);
    let lines = format!("Connection: close\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = head(method, target, id, deadline_ms, &lines).into_bytes();
    bytes.extend_from_slice(body);
    if !wire.send(&bytes) {
        let fault = "closed without an answer".to_owned();
        return Answer { fault, took: sent.elapsed(), ..Answer::default() };
    }
    read_answer(&mut wire, sent, ms(deadline_ms))
}

// -------------------------------------------------------------------------------------- gateways

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    child: Child,
}

/// The zones of the small deployment.
pub const ZONES: &str = "{\"pl-nord\":\"port-louis\",\"cp-est\":\"curepipe\",\"mb-ouest\":\"mahebourg\",\
     \"pl-sud\":\"port-louis\",\"cp-ouest\":\"curepipe\",\"mb-est\":\"mahebourg\"}";

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address that is free now, below the ports that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (std::process::id() * 101 + tried) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// A folder for settings and logs, under `TMPDIR`.
pub fn scratch() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oleanderspan-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("no temporary folder");
    folder
}

impl Gateway {
    pub fn start(record: &Record, name: &str, zone: &str, store: SocketAddr) -> Gateway {
        let at: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        let settings = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"cores\":0.2,\"zones\":{ZONES},\"listen\":{{\
             \"callers\":\"{}\",\"ready\":\"{}\",\"directory\":\"{}\",\"peers\":\"{}\",\
             \"metrics\":\"{}\"}},\"store\":{{\"address\":\"{store}\"}},\
             \"repeats\":{{\"ratio\":0.2,\"slack\":56}},\"grace_s\":6,\"log\":{{\"level\":\"info\"}}}}",
            at[0], at[1], at[2], at[3], at[4]
        );
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = scratch().join(format!("{number}-{name}.json"));
        std::fs::write(&path, settings).expect("settings cannot be written");
        let log = path.with_extension("log");
        let child = spawn(&path, &log);
        record.say(&format!("gateway {name} started in {zone}, process {}", child.id()));
        let (front, ready, directory, metrics) = (at[0], at[1], at[2], at[4]);
        Gateway { name: name.to_owned(), front, ready, directory, metrics, settings: path, log, child }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, record: &Record) {
        self.child = spawn(&self.settings, &self.log);
        record.say(&format!("gateway {} started again, process {}", self.name, self.child.id()));
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so that its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether the platform's check of the machine gets a 200 within a second.
    pub fn is_ready(&self) -> bool {
        let at = self.ready;
        let Ok(stream) = TcpStream::connect_timeout(&at, ms(1_000)) else { return false };
        let mut wire = Wire::new(stream);
        // The name that `deploy/wire.toml` gives to `GET /v1/ready`.
        let path = "/.well-known/oleanderspan/ready";
        let sent = Instant::now();
        let text = format!("GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        wire.send(text.as_bytes()) && read_answer(&mut wire, sent, ms(1_000)).status == 200
    }

    /// Waits until the gateway is ready; ends the script with 2 if it isn't in time.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + ms(10_000);
        while !self.is_ready() {
            if Instant::now() > until {
                println!("gateway {} is not ready: the case cannot run", self.name);
                exit(2, &[self]);
            }
            thread::sleep(ms(50));
        }
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Processor time used so far, in milliseconds.
    pub fn cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * 10
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal_if_running();
    }
}

impl Gateway {
    fn signal_if_running(&mut self) {
        if self.has_ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Ends the processes and the script.
pub fn exit(code: i32, gateways: &[&Gateway]) -> ! {
    for gateway in gateways {
        gateway.signal(SIGKILL);
    }
    thread::sleep(ms(100));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(scratch());
    }
    std::process::exit(code);
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let out = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("no log");
    let errors = out.try_clone().unwrap();
    // `run` of the role in deploy/system.toml.
    let mut command = Command::new("target/release/oleanderspan-platform");
    command.env("OLEANDERSPAN_SETTINGS", settings).stdin(Stdio::null()).stdout(out).stderr(errors);
    // SAFETY: the call touches nothing but the new process, which then ends with the script in any
    // case.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command
        .spawn()
        .expect("target/release/oleanderspan-platform does not start")
}

// ----------------------------------------------------------------------------------- configuration

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub service: &'a str,
    pub sticky: bool,
    pub homes: &'a [&'a str],
}

/// The operator's configuration with one host.
pub fn config(version: u32, services: &[&str], routes: &[Route<'_>]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\",\
                 \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":4.5}}"
            )
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|route| {
            let homes: Vec<String> = route.homes.iter().map(|home| format!("\"{home}\"")).collect();
            format!(
                "{{\"name\":\"{}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\
                 \"target_latency_ms\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":2,\
                 \"sticky_sessions\":{},\"home_regions\":[{}]}}",
                route.name, route.prefix, route.kind, route.timeout_ms, route.objective_ms,
                route.service, route.sticky, homes.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"host\":\"bureau.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

/// Whether the script plays the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
