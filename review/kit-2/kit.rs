//! Stand-ins for the platform's store, instances and clients, and the start of a gateway process.
//! Standard library only, as cases add no dependency.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Name of the configured host.
pub const HOST: &str = "review.example";

/// How long a gateway may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The heartbeat interval of instances.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The longest run of a case; the run limit is 120 s.
const MAX_RUN: Duration = Duration::from_secs(100);

/// The processes that were started and have not been ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all started processes and then this one: the case couldn't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("{reason}");
    for child in CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter() {
        let _ = Command::new("kill").args(["-KILL", &child.to_string()]).status();
    }
    std::process::exit(2)
}

/// The record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let file = fs::File::create(format!("{folder}/record.txt"))
            .unwrap_or_else(|error| give_up(&format!("cannot write the record: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// An HTTP/1.1 message: its first line, headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.ends_with("chunked"))
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok().filter(|read| *read > 0)?;
    line.ends_with(b"\n").then(|| String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads first line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body that the headers announce; `None` if it breaks off.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> Option<()> {
    if message.is_chunked() {
        loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Some(());
            }
            read_line(reader)?;
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()
}

/// Reads a whole response; `None` if it breaks off. One without a length ends with the connection.
pub fn read_response(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    while (100..200).contains(&message.status()) {
        message = read_head(reader)?;
    }
    let has_length = message.header("content-length").is_some();
    if !has_length && !message.is_chunked() && !matches!(message.status(), 204 | 304) {
        reader.read_to_end(&mut message.body).ok()?;
        return Some(message);
    }
    read_body(reader, &mut message)?;
    Some(message)
}

/// Sends bytes on a new connection and reads the response; `None` if there is no complete one.
pub fn exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    // A response may come before the whole request has been read.
    let _ = stream.write_all(bytes);
    read_response(&mut BufReader::new(stream))
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = BASE64[(group >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// The platform's store: rows by table and key, with a change feed.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Rows>, Condvar)>,
    is_silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct Rows {
    /// The Base64 value, or `None` once deleted, and the version of the change.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let store = Store { address, inner: Arc::default(), is_silent: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.write(table, key, Some(base64(json.as_bytes())));
    }

    pub fn delete(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Writes a heartbeat: an entry of which only the sequence has changed is no change.
    fn refresh(&self, table: &str, key: &str, json: &str) {
        let mut rows = self.inner.0.lock().unwrap();
        let row = rows.rows.get_mut(&(table.to_owned(), key.to_owned()));
        if let Some((Some(value), _)) = row.filter(|_| !self.is_silent.load(Ordering::SeqCst)) {
            *value = base64(json.as_bytes());
        }
    }

    /// While the store is silent, calls that arrive are never answered and their connections deliver
    /// nothing further. Calls that arrived before are answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.inner;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = read_head(&mut reader) {
            if read_body(&mut reader, &mut call).is_none() {
                return;
            }
            if self.is_silent.load(Ordering::SeqCst) {
                // Holds the connection until the caller gives it up.
                while read_head(&mut reader).is_some() {}
                return;
            }
            let answer = self.answer(&call);
            let (status, body) = answer.map_or(("404 Not Found", String::new()), |b| ("200 OK", b));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Option<String> {
        let target = call.first_line.split(' ').nth(1)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let (rows, changed) = &*self.inner;
        match path {
            "/v1/rows-get" => Some(rows.lock().unwrap().page(field("table")?, None)),
            "/v1/rows-feed" => {
                let (table, after) = (field("table")?, field("after")?.parse().ok()?);
                let ends = Instant::now() + Duration::from_millis(field("wait_ms")?.parse().ok()?);
                let mut rows = rows.lock().unwrap();
                while !rows.has_change(table, after) && Instant::now() < ends {
                    let left = ends.saturating_duration_since(Instant::now());
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
                Some(rows.page(table, Some(after)))
            }
            "/v1/rows-tx" => {
                let body = String::from_utf8_lossy(&call.body);
                let (puts, deletes) = body.split_once("\"deletes\"")?;
                for row in puts.split('{').skip(2) {
                    let value = text_field(row, "value")?;
                    self.write(&text_field(row, "table")?, &text_field(row, "key")?, Some(value));
                }
                for row in deletes.split('{').skip(1) {
                    self.write(&text_field(row, "table")?, &text_field(row, "key")?, None);
                }
                Some(format!("{{\"ver\":{},\"now_ms\":0}}", rows.lock().unwrap().version))
            }
            _ => None,
        }
    }
}

/// The value of a text field of a flat JSON object whose texts have no escapes.
fn text_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split_once('"')?.0.to_owned())
}

impl Rows {
    fn has_change(&self, table: &str, after: u64) -> bool {
        self.rows.iter().any(|((of, _), (_, version))| of == table && *version > after)
    }

    fn page(&self, table: &str, after: Option<u64>) -> String {
        let rows = self.rows.iter().filter(|((of, _), _)| of == table);
        let rows = rows.filter(|(_, (value, version))| match after {
            Some(after) => *version > after,
            None => value.is_some(),
        });
        let rows = rows.map(|((_, key), (value, version))| {
            let content = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
        });
        let rows: Vec<String> = rows.collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":0}}",
            rows.join(","),
            self.version
        )
    }
}

/// A request that an instance has received whole.
#[derive(Clone, Debug)]
pub struct Run {
    /// When the whole request had arrived.
    pub at: Instant,
    pub id: String,
    pub request: Message,
}

/// What an instance does with a request: the bytes of its response. The instance has run the request
/// unless the response has `Not-Executed`.
pub type Behaviour = fn(&Message) -> Vec<u8>;

/// An instance that lists itself in the store and records what it runs.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    sequence: Arc<AtomicU64>,
}

impl Instance {
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        does: Behaviour,
    ) -> Instance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an instance");
        let address = listener.local_addr().expect("the address of an instance");
        let (id, runs) = (id.to_owned(), Arc::default());
        let instance = Instance { id, address, runs, sequence: Arc::default() };
        let (serving, log) = (instance.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (instance, log) = (serving.clone(), log.clone());
                thread::spawn(move || instance.serve(stream, &log, does));
            }
        });
        let (beating, store, service) = (instance.clone(), store.clone(), service.to_owned());
        store.put("servers", &beating.id, &beating.entry(&service));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                store.refresh("servers", &beating.id, &beating.entry(&service));
            }
        });
        instance
    }

    fn entry(&self, service: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"version\":\"1\",\
             \"zone\":\"a-1\",\"slots\":8}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
             \"cold_remaining_ms\":0}},\"born\":1767225600000}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream, record: &Record, does: Behaviour) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader) {
            let path = request.first_line.split(' ').nth(1).unwrap_or("");
            if path == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("request-id").unwrap_or("").to_owned();
            if request.header("target-instance").is_some_and(|target| target != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if read_body(&mut reader, &mut request).is_none()
                    || writer.write_all(answer.as_bytes()).is_err()
                {
                    return;
                }
                continue;
            }
            if read_body(&mut reader, &mut request).is_none() {
                record.note(format!("{} gets a part of {id}; not run", self.id));
                return;
            }
            let at = Instant::now();
            let answer = does(&request);
            let first = String::from_utf8_lossy(&answer).lines().next().unwrap_or("").to_owned();
            record.note(format!(
                "{} runs {id}: {} with a body of {} bytes; answers {first}",
                self.id,
                request.first_line,
                request.body.len()
            ));
            self.runs.lock().unwrap().push(Run { at, id, request });
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// The requests that the instance has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// A success with the request's id and a seal.
pub fn success(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\nContent-Length: 2\r\n\r\nok"
    )
    .into_bytes()
}

/// A gateway process, which is killed when this is dropped, and its temporary folder.
pub struct Gateway {
    pub callers: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// Starts the program of the deploy file with the settings in this folder.
fn spawn(folder: &std::path::Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log.txt"));
    let child = Command::new("target/release/oleanderspan-platform")
        .env("OLEANDERSPAN_SETTINGS", folder.join("node.json"))
        .stdout(log.expect("a log file"))
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| give_up(&format!("cannot start the gateway: {error}")));
    CHILDREN.lock().unwrap().push(child.id());
    child
}

/// Kills a process and waits for its end.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

impl Gateway {
    /// Starts the program as the deploy file does and waits until it is ready.
    pub fn start(store: &Store, record: &Record) -> Gateway {
        Gateway::start_as("front-a-1", "a-1", store, record)
    }

    /// Does the same for a host with this name in this zone.
    pub fn start_as(name: &str, zone: &str, store: &Store, record: &Record) -> Gateway {
        let ports: Vec<SocketAddr> = {
            let bound: Vec<TcpListener> =
                (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
            bound.iter().map(|listener| listener.local_addr().expect("an address")).collect()
        };
        let [callers, ready, directory, peers, metrics] = ports[..] else { unreachable!() };
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"cores\":0.2,\"memory_mb\":260,\
             \"zones\":{{\"a-1\":\"a\",\"b-1\":\"b\"}},\"listen\":{{\"callers\":\"{callers}\",\
             \"ready\":\"{ready}\",\"directory\":\"{directory}\",\"peers\":\"{peers}\",\
             \"metrics\":\"{metrics}\"}},\"store\":{{\"address\":\"{}\"}},\
             \"repeats\":{{\"ratio\":0.2,\"slack\":56,\"unspent\":true}},\"grace_s\":6,\
             \"log\":{{\"level\":\"info\"}}}}",
            store.address
        );
        let path = folder.join("node.json");
        fs::write(&path, settings).expect("a settings file");
        let child = spawn(&folder);
        let mut gateway = Gateway { callers, ready, folder, child };
        gateway.wait_until_ready();
        record.note(format!("{name} is ready"));
        gateway
    }

    pub fn wait_until_ready(&mut self) {
        let ready = self.ready;
        let request =
            format!("GET /.well-known/oleanderspan/ready HTTP/1.1\r\nHost: {ready}\r\n\r\n");
        let began = Instant::now();
        let is_ready = || {
            let answer = exchange(ready, request.as_bytes(), Duration::from_secs(1));
            answer.is_some_and(|answer| answer.status() == 200)
        };
        while !is_ready() {
            if began.elapsed() > START_TIMEOUT || !self.is_running() {
                give_up("the gateway is not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end(&mut self.child);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the case is to cause the trouble.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends a case that takes too long.
pub fn limit_run() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        give_up("the case takes too long");
    });
}
