//! The platform's store: items, leases, transactions and watches.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{self, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::Head,
    json::{Json, quote},
};

/// The history that a watch can continue from.
const HISTORY: Duration = Duration::from_secs(20);

const MAX_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    at: Instant,
    json: String,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// Events up to this revision are no longer available.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Whether watches hear nothing.
    is_hushed: bool,
    /// Rises when waiting watches are cut.
    cuts: u64,
    /// Since when no call is answered, if none is.
    silent_since: Option<Instant>,
}

/// A running store; a clone refers to the same one.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self { address, shared: Arc::default() };
        store.contents().revision = 100;
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || {
                    // The caller has closed the connection.
                    let _ended = store.serve(&stream);
                });
            }
        });
        let expirer = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expirer.contents().expire();
                expirer.shared.1.notify_all();
            }
        });
        Ok(store)
    }

    /// Writes an item, as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let mut contents = self.contents();
        contents.revision += 1;
        contents.put(key, base64::encode(value.as_bytes()), 0);
        let revision = contents.revision;
        drop(contents);
        self.shared.1.notify_all();
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut contents = self.contents();
        contents.revision += 1;
        contents.take(key);
        drop(contents);
        self.shared.1.notify_all();
    }


    /// Lets watches hear nothing until the history is dropped.
    pub fn hush_watches(&self) {
        self.contents().is_hushed = true;
    }

    /// Drops the history, and cuts the watches that wait.
    pub fn drop_history(&self) {
        let mut contents = self.contents();
        contents.is_hushed = false;
        contents.cuts += 1;
        contents.events.clear();
        contents.forgotten = contents.revision;
        drop(contents);
        self.shared.1.notify_all();
    }

    /// Answers no call any more; leases pause.
    pub fn fall_silent(&self) {
        self.contents().silent_since = Some(Instant::now());
    }

    /// Answers calls again, but for those on connections that were silent.
    pub fn end_silence(&self) {
        let mut contents = self.contents();
        if let Some(since) = contents.silent_since.take() {
            let paused = since.elapsed();
            for lease in contents.leases.values_mut() {
                lease.ends_at += paused;
            }
        }
    }

    /// Whether no call is answered now.
    pub fn is_silent(&self) -> bool {
        self.contents().silent_since.is_some()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.shared.0.lock().expect("no holder panicked")
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let body = head.read_full_body(&mut reader, false)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            if self.is_silent() {
                return drain(&mut reader);
            }
            let Some((status, body)) = self.respond(&head, &body) else {
                return stream.shutdown(Shutdown::Both);
            };
            // The answer of a watch that waited is lost as well.
            if self.is_silent() {
                return drain(&mut reader);
            }
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\
                 \r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            (&*stream).write_all(response.as_bytes())?;
        }
        Ok(())
    }

    /// The answer to a call; `None` for a watch that is cut.
    fn respond(&self, head: &Head, body: &str) -> Option<(u16, String)> {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = Query::parse(query);
        if (head.word(0), path) == ("GET", "/v1/kv-watch") {
            return self.watch(&query);
        }
        Some(match (head.word(0), path) {
            ("GET", "/v1/kv-key") => self.contents().key(&query.text("key")),
            ("GET", "/v1/kv-range") => self.contents().range(&query),
            ("POST", "/v1/kv-txn") => {
                let answer = self.contents().transact(body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => self.contents().open_lease(body),
            (method, path) => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let id = id.parse().unwrap_or(0);
                let answer = match (method, call) {
                    ("POST", "/v1/kv-keep") => self.contents().keep_lease(id),
                    ("DELETE", "/v1/kv-lease-end") => {
                        self.contents().end_lease(id)
                    }
                    _ => (404, "{}".into()),
                };
                self.shared.1.notify_all();
                answer
            }
        })
    }

    fn watch(&self, query: &Query) -> Option<(u16, String)> {
        let prefix = query.text("path_prefix");
        let after: u64 = query.text("after").parse().unwrap_or(0);
        let wait: u64 = query.text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut contents = self.contents();
        let cuts = contents.cuts;
        loop {
            if contents.cuts > cuts {
                return None;
            }
            if after < contents.forgotten {
                return Some((410, "{}".into()));
            }
            let events = contents.events.iter();
            let events: Vec<&str> = events
                .filter(|e| e.revision > after && e.key.starts_with(&prefix))
                .map(|event| event.json.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if contents.is_hushed && left.is_zero() {
                let body =
                    format!("{{\"events\":[],\"current_rev\":{after}}}");
                return Some((200, body));
            }
            let hears = !events.is_empty() && !contents.is_hushed;
            if hears || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    contents.revision
                );
                return Some((200, body));
            }
            let waited = self.shared.1.wait_timeout(contents, left);
            contents = waited.expect("no holder panicked").0;
        }
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item { value, revision, created, lease };
        let json = item.json(key);
        self.items.insert(key.into(), item);
        self.record(key, json);
    }

    fn take(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let json = format!(
                "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                quote(key),
                self.revision
            );
            self.record(key, json);
        }
    }

    fn record(&mut self, key: &str, json: String) {
        let (revision, at) = (self.revision, Instant::now());
        self.events.push_back(Event { key: key.into(), revision, at, json });
        while self.events.front().is_some_and(|e| e.at.elapsed() > HISTORY) {
            let event = self.events.pop_front();
            self.forgotten = event.map_or(0, |event| event.revision);
        }
    }

    fn expire(&mut self) {
        if self.silent_since.is_some() {
            return;
        }
        let now = Instant::now();
        let leases = self.leases.iter();
        let ended: Vec<u64> = leases
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            None => (404, "{}".into()),
            Some(item) => {
                let mut json = item.json(key);
                json.pop();
                json.push_str(&format!(
                    ",\"current_rev\":{}}}",
                    self.revision
                ));
                (200, json)
            }
        }
    }

    fn range(&self, query: &Query) -> (u16, String) {
        let prefix = query.text("path_prefix");
        let after = query.text("after");
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            if items.len() >= MAX_ITEMS || bytes >= MAX_PAGE_BYTES {
                truncated = true;
                break;
            }
            let json = item.json(key);
            bytes += json.len();
            items.push(json);
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"current_rev\":{}}}",
            items.join(","),
            self.revision
        );
        (200, body)
    }

    fn transact(&mut self, body: &str) -> (u16, String) {
        self.expire();
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let rows = |name: &str| call.get(name).map_or(&[][..], Json::list);
        let conditions = rows("precondition");
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or("").to_owned()
        };
        let number = |row: &Json, name: &str| {
            row.get(name).and_then(Json::number).unwrap_or(0)
        };
        let current = |key: &str| self.items.get(key).map_or(0, |i| i.revision);
        let holds = conditions
            .iter()
            .all(|row| current(&text(row, "key")) == number(row, "revision"));
        if !holds {
            let found = conditions.iter().filter_map(|row| {
                let key = text(row, "key");
                Some(self.items.get(&key)?.json(&key))
            });
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let has_lease = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !rows("writes").iter().all(has_lease) {
            return (404, "{}".into());
        }
        self.revision += 1;
        for row in rows("writes") {
            let lease = number(row, "lease");
            self.put(&text(row, "key"), text(row, "value"), lease);
        }
        for key in rows("remove").iter().filter_map(Json::text) {
            self.take(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn open_lease(&mut self, body: &str) -> (u16, String) {
        let call = Json::parse(body);
        let ttl = call.as_ref().and_then(|call| call.get("ttl_time")?.text());
        let ttl = ttl.and_then(|ttl| ttl.strip_suffix("ms")?.parse().ok());
        let Some(ttl) = ttl.map(Duration::from_millis) else {
            return (400, "{}".into());
        };
        self.last_lease += 1;
        let id = 70_000 + self.last_lease;
        self.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        let millis = ttl.as_millis();
        (200, format!("{{\"lease\":{id},\"ttl_time\":\"{millis}ms\"}}"))
    }

    fn keep_lease(&mut self, id: u64) -> (u16, String) {
        self.expire();
        let Some(lease) = self.leases.get_mut(&id) else {
            return (404, "{}".into());
        };
        lease.ends_at = Instant::now() + lease.ttl;
        let millis = lease.ttl.as_millis();
        (200, format!("{{\"ttl_time\":\"{millis}ms\"}}"))
    }

    fn end_lease(&mut self, id: u64) -> (u16, String) {
        if self.leases.remove(&id).is_none() {
            return (404, "{}".into());
        }
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.take(&key);
        }
        (200, "{}".into())
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}",
            quote(key)
        )
    }
}

/// Reads until the caller closes the connection; nothing is answered.
fn drain(reader: &mut impl Read) -> io::Result<()> {
    io::copy(reader, &mut io::sink()).map(drop)
}

struct Query(Vec<(String, String)>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(n, v)| (decode(n), decode(v))).collect())
    }

    fn text(&self, name: &str) -> String {
        let pair = self.0.iter().find(|(known, _)| known == name);
        pair.map_or(String::new(), |(_, value)| value.clone())
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        let code = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        if let (b'%', Some(code)) = (bytes[at], code) {
            decoded.push(code);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
