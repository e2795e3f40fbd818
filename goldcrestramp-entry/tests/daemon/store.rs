//! A stand-in of the platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

#[derive(Clone, Debug)]
struct StoredItem {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// Changes by revision: the key, and its value unless it was removed.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Watches that begin now hear nothing until their wait is over.
    deaf: bool,
    deaf_watches: u32,
    /// The longest wait that a watch asked for, in milliseconds.
    longest_wait: u64,
    /// Claims to plan whose answers get lost, and readings after them that
    /// are turned away.
    claims_lost: u32,
    readings_refused: u32,
    /// Whether watches hide what follows the next end of a planner.
    hides: bool,
    /// Watches tell of no change after this revision.
    hidden_after: Option<u64>,
    /// Where a VM is said to be reached, in place of its own address.
    detours: HashMap<String, SocketAddr>,
}

/// The store; it ends with the test.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

impl StoreStandin {
    pub async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(StoreState {
            revision: 1,
            ..StoreState::default()
        }));
        let store = Self { address, state };
        tokio::spawn(store.clone().serve(listener));
        store
    }

    /// Writes as an operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let value = value.to_string().into_bytes();
        self.lock().write(key, value, 0);
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// How long the lease of a key lasts without a renewal.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn lease_span(&self, key: &str) -> Option<Duration> {
        let state = self.lock();
        let lease = state.items.get(key)?.lease;
        state.leases.get(&lease).map(|(_until, span)| *span)
    }

    /// From now on watches that begin hear nothing, and what changes is
    /// forgotten; those that wait end.
    pub fn fall_deaf(&self) {
        let mut state = self.lock();
        state.deaf = true;
        state.write("op/other", b"{}".to_vec(), 0);
    }

    /// Watches that began since.
    pub fn deaf_watches(&self) -> u32 {
        self.lock().deaf_watches
    }

    /// The longest wait that a watch asked for, in milliseconds.
    pub fn longest_wait(&self) -> u64 {
        self.lock().longest_wait
    }

    /// The answer to the next claim to plan is lost, and the reading that
    /// would tell of it is turned away.
    #[allow(dead_code, reason = "not every test binary loses one")]
    pub fn lose_claim(&self) {
        self.lock().claims_lost = 1;
    }

    /// Watches tell of the end of the planner's record, and of nothing
    /// after it until everything is shown.
    #[allow(dead_code, reason = "not every test binary hides anything")]
    pub fn hide_from_next_planner(&self) {
        self.lock().hides = true;
    }

    /// Watches tell of every change again.
    #[allow(dead_code, reason = "not every test binary hides anything")]
    pub fn show_all(&self) {
        let mut state = self.lock();
        state.hides = false;
        state.hidden_after = None;
    }

    /// From now on the entry of a VM names this address.
    #[allow(dead_code, reason = "not every test binary has a detour")]
    pub fn detour(&self, vm: &str, address: SocketAddr) {
        let key = format!("router/vm/{vm}");
        let mut state = self.lock();
        state.detours.insert(key.clone(), address);
        let known = state.items.get(&key).cloned();
        if let Some(item) = known {
            state.write(&key, item.value, item.lease);
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no handler panics")
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let store = self.clone();
            let service = service_fn(move |request| {
                let store = store.clone();
                async move { Ok::<_, Infallible>(store.answer(request).await) }
            });
            tokio::spawn(async move {
                // Callers may leave at any time.
                let _left = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let query = parts.uri.query().unwrap_or("");
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescaped(value)))
            .collect();
        let path = parts.uri.path().to_owned();
        match path.as_str() {
            "/v1/kv-range" => self.lock().range(&query),
            "/v1/kv-watch" => self.watch(&query).await,
            "/v1/kv-txn" => {
                let answer = self.lock().transact(&body);
                let is_claim = body["writes"][0]["key"] == "router/planner";
                if is_claim && self.lock().loses_claim() {
                    std::future::pending::<()>().await;
                }
                answer
            }
            "/v1/kv-lease" => self.lock().lease(&body),
            path => self.lock().lease_call(path),
        }
    }

    async fn watch(
        &self,
        query: &HashMap<String, String>,
    ) -> Response<Full<Bytes>> {
        let after: u64 = query["after"].parse().expect("a revision");
        let wait: u64 = query["wait_ms"].parse().expect("a wait");
        let end = Instant::now() + Duration::from_millis(wait);
        let deaf = {
            let mut state = self.lock();
            state.longest_wait = state.longest_wait.max(wait);
            state.deaf_watches += u32::from(state.deaf);
            state.deaf
        };
        loop {
            {
                let mut state = self.lock();
                state.lapse();
                let events = state.events(after);
                let over = Instant::now() >= end;
                if deaf && over && !events.is_empty() {
                    return status(StatusCode::GONE);
                }
                if over || (!deaf && !events.is_empty()) {
                    let revision = state.shown();
                    return reply(&json!({
                        "events": events, "current_rev": revision
                    }));
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl StoreState {
    fn loses_claim(&mut self) -> bool {
        let lost = self.claims_lost > 0;
        self.claims_lost = 0;
        self.readings_refused += u32::from(lost);
        lost
    }

    fn write(&mut self, key: &str, mut value: Vec<u8>, lease: u64) {
        if let Some(address) = self.detours.get(key) {
            let mut entry: Value =
                serde_json::from_slice(&value).expect("an entry");
            entry["address"] = json!(address);
            value = entry.to_string().into_bytes();
        }
        self.revision += 1;
        let revision = self.revision;
        let item = StoredItem { value: value.clone(), revision, lease };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
            if self.hides && key == "router/planner" {
                self.hidden_after.get_or_insert(self.revision);
            }
        }
    }

    /// The revision up to which watches tell of changes.
    fn shown(&self) -> u64 {
        self.hidden_after.unwrap_or(self.revision)
    }

    /// Ends leases that were not renewed.
    fn lapse(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn events(&self, after: u64) -> Vec<Value> {
        let told = after + 1..=self.shown();
        let changes = self.history.iter().filter(|(at, ..)| told.contains(at));
        let event =
            |(at, key, value): &(u64, String, Option<Vec<u8>>)| match value {
                Some(value) => json!({
                    "key": key, "value": STANDARD.encode(value),
                    "revision": at, "created": at, "lease": 0
                }),
                None => json!({
                    "key": key, "revision": at, "tombstone": true
                }),
            };
        changes.map(event).collect()
    }

    fn range(
        &mut self,
        query: &HashMap<String, String>,
    ) -> Response<Full<Bytes>> {
        self.lapse();
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        if prefix == "router/" && self.readings_refused > 0 {
            self.readings_refused -= 1;
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let items = self.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let items: Vec<Value> = items
            .map(|(key, item)| {
                json!({
                    "key": key, "value": STANDARD.encode(&item.value),
                    "revision": item.revision, "created": item.revision,
                    "lease": item.lease
                })
            })
            .collect();
        let revision = self.revision;
        reply(&json!({
            "items": items, "truncated": false, "current_rev": revision
        }))
    }

    fn transact(&mut self, body: &Value) -> Response<Full<Bytes>> {
        self.lapse();
        let rows = body["precondition"].as_array().expect("rows");
        let holds = rows.iter().all(|row| {
            let key = row["key"].as_str().expect("a key");
            let known = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(known)
        });
        if !holds {
            return status(StatusCode::PRECONDITION_FAILED);
        }
        for write in body["writes"].as_array().expect("writes") {
            let lease = write["lease"].as_u64().expect("a lease");
            if lease != 0 && !self.leases.contains_key(&lease) {
                return status(StatusCode::NOT_FOUND);
            }
            let value = write["value"].as_str().expect("a value");
            let value = STANDARD.decode(value).expect("base64");
            self.write(write["key"].as_str().expect("a key"), value, lease);
        }
        reply(&json!({ "revision": self.revision }))
    }

    fn lease(&mut self, body: &Value) -> Response<Full<Bytes>> {
        let text = body["ttl_time"].as_str().expect("a span");
        let millis = text.trim_end_matches("ms").parse().expect("a number");
        let span = Duration::from_millis(millis);
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, (Instant::now() + span, span));
        reply(&json!({ "lease": lease, "ttl_time": text }))
    }

    fn lease_call(&mut self, path: &str) -> Response<Full<Bytes>> {
        self.lapse();
        let (call, lease) = path.rsplit_once('/').expect("a path");
        let Ok(lease) = lease.parse::<u64>() else {
            return status(StatusCode::NOT_FOUND);
        };
        if call == "/v1/kv-lease-end" {
            self.end_lease(lease);
            return reply(&json!({}));
        }
        match self.leases.get_mut(&lease) {
            Some((until, span)) => {
                *until = Instant::now() + *span;
                let text = format!("{}ms", span.as_millis());
                reply(&json!({ "ttl_time": text }))
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }
}

fn reply(body: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::new(body.to_string().into()))
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

/// The text of a query's value, with its escapes undone.
fn unescaped(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first == b'%' && tail.len() >= 2 {
            let digits = std::str::from_utf8(&tail[..2]).expect("ASCII");
            bytes.push(u8::from_str_radix(digits, 16).expect("hex"));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).expect("UTF-8")
}
