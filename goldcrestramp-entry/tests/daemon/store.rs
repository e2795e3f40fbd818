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
    /// All changes: the revision, the key, and the value unless the key was
    /// removed.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Whether new watches see no change until their wait is over.
    watches_blocked: bool,
    blocked_watches: u32,
    /// Whether first pages of the whole store get no response now, and how many
    /// got none.
    loses_reads: bool,
    lost_reads: u32,
    /// The longest wait that a watch requested, in milliseconds.
    max_wait: u64,
    /// The number of planner claims whose response is to be lost, and of
    /// snapshot reads to be refused after them.
    lost_claims: u32,
    refused_reads: u32,
    /// Whether watches hide the changes after the next removal of the
    /// planner's record.
    hides_after_planner: bool,
    /// The last revision that watches report, if later ones are hidden.
    hidden_after: Option<u64>,
    /// Addresses that replace those in the entries of VMs, by key.
    address_overrides: HashMap<String, SocketAddr>,
}

/// A store that runs until the test ends.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    /// The addresses that are replaced for the VMs that use this address of
    /// the store: pairs of an address in the store and what they see.
    replaced: Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>,
}

impl StoreStandin {
    pub async fn spawn() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("port binds");
        let address = listener.local_addr().expect("listener has an address");
        let state = Arc::new(Mutex::new(StoreState {
            revision: 1,
            ..StoreState::default()
        }));
        let store = Self { address, state, replaced: Arc::default() };
        tokio::spawn(store.clone().serve(listener));
        store
    }

    /// Opens another address of the same store, at which some addresses of
    /// servers and VMs are replaced, in what is read and in what is written.
    #[allow(dead_code, reason = "not every test binary replaces any")]
    pub async fn with_replaced_addresses(&self) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("port binds");
        let address = listener.local_addr().expect("listener has an address");
        let state = Arc::clone(&self.state);
        let store = Self { address, state, replaced: Arc::default() };
        tokio::spawn(store.clone().serve(listener));
        store
    }

    /// Replaces an address for the VMs that use this address of the store.
    #[allow(dead_code, reason = "not every test binary replaces any")]
    pub fn replace_address(&self, stored: SocketAddr, seen: SocketAddr) {
        let mut replaced = self.replaced.lock().expect("lock is not poisoned");
        replaced.push((stored, seen));
    }

    /// Replaces the addresses in the base64 values of `items`: the stored ones
    /// by those that are seen, or the other way round.
    fn replace_addresses(&self, items: &mut Value, stored_by_seen: bool) {
        let replaced = self.replaced.lock().expect("lock is not poisoned");
        let items = items.as_array_mut().into_iter().flatten();
        for item in items {
            let Some(value) = item["value"].as_str() else { continue };
            let mut value = STANDARD.decode(value).expect("value is base64");
            for &(stored, seen) in &*replaced {
                let (from, to) = if stored_by_seen {
                    (stored, seen)
                } else {
                    (seen, stored)
                };
                value = replace_address(&value, from, to);
            }
            item["value"] = json!(STANDARD.encode(value));
        }
    }

    /// Writes a key without a lease, as an operator or a server does.
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

    /// Whether any key begins with `prefix`.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn has_prefix(&self, prefix: &str) -> bool {
        self.lock().items.keys().any(|key| key.starts_with(prefix))
    }

    /// The TTL of a key's lease.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn lease_ttl(&self, key: &str) -> Option<Duration> {
        let state = self.lock();
        let lease = state.items.get(key)?.lease;
        state.leases.get(&lease).map(|(_until, ttl)| *ttl)
    }

    /// From now on new watches see no change: one that missed changes ends
    /// with `410 Gone` when its wait is over. Waiting watches end.
    pub fn block_watches(&self) {
        let mut state = self.lock();
        state.watches_blocked = true;
        state.write("op/other", b"{}".to_vec(), 0);
    }

    /// The number of watches that began since watches are blocked.
    pub fn blocked_watches(&self) -> u32 {
        self.lock().blocked_watches
    }

    /// Sets whether first pages of the whole store get no response from now on.
    #[allow(dead_code, reason = "not every test binary loses one")]
    pub fn lose_reads(&self, loses: bool) {
        self.lock().loses_reads = loses;
    }

    /// The number of pages that got no response.
    #[allow(dead_code, reason = "not every test binary loses one")]
    pub fn lost_reads(&self) -> u32 {
        self.lock().lost_reads
    }

    /// The longest wait that a watch requested, in milliseconds.
    pub fn max_wait(&self) -> u64 {
        self.lock().max_wait
    }

    /// Drops the response to the next planner claim and refuses the snapshot
    /// read that would show its result.
    #[allow(dead_code, reason = "not every test binary loses one")]
    pub fn lose_claim(&self) {
        self.lock().lost_claims = 1;
    }

    /// From the next removal of the planner's record on, watches report that
    /// removal and hide all later changes, until [`Self::show_all`].
    #[allow(dead_code, reason = "not every test binary hides anything")]
    pub fn hide_from_next_planner(&self) {
        self.lock().hides_after_planner = true;
    }

    /// Watches report every change again.
    #[allow(dead_code, reason = "not every test binary hides anything")]
    pub fn show_all(&self) {
        let mut state = self.lock();
        state.hides_after_planner = false;
        state.hidden_after = None;
    }

    /// Replaces the address in the entry of a VM of the failure domain
    /// `north-a`, now and at each write.
    #[allow(dead_code, reason = "not every test binary has a detour")]
    pub fn override_address(&self, vm: &str, address: SocketAddr) {
        let key = format!("router/vm/north-a/{vm}");
        let mut state = self.lock();
        state.address_overrides.insert(key.clone(), address);
        let known = state.items.get(&key).cloned();
        if let Some(item) = known {
            state.write(&key, item.value, item.lease);
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("lock is not poisoned")
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, _) =
                listener.accept().await.expect("connection succeeds");
            let store = self.clone();
            let service = service_fn(move |request| {
                let store = store.clone();
                async move { Ok::<_, Infallible>(store.handle(request).await) }
            });
            tokio::spawn(async move {
                // Callers may disconnect at any time.
                let _left = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.expect("body is received").to_bytes();
        let mut body: Value =
            serde_json::from_slice(&body).unwrap_or(Value::Null);
        self.replace_addresses(&mut body["writes"], false);
        let response = self.respond(&parts, &body).await;
        if self.replaced.lock().expect("lock is not poisoned").is_empty() {
            return response;
        }
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("body is complete").to_bytes();
        let Ok(mut body) = serde_json::from_slice::<Value>(&body) else {
            return Response::from_parts(parts, Full::new(body));
        };
        for list in ["items", "events"] {
            self.replace_addresses(&mut body[list], true);
        }
        Response::from_parts(parts, Full::new(body.to_string().into()))
    }

    async fn respond(
        &self,
        parts: &http::request::Parts,
        body: &Value,
    ) -> Response<Full<Bytes>> {
        let query = parts.uri.query().unwrap_or("");
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescaped(value)))
            .collect();
        let path = parts.uri.path().to_owned();
        match path.as_str() {
            "/v1/kv-range" => {
                let has = |name: &str| {
                    query.get(name).is_some_and(|value| !value.is_empty())
                };
                let is_first = !has("path_prefix") && !has("after");
                let is_lost = is_first && self.lock().loses_reads;
                if is_lost {
                    self.lock().lost_reads += 1;
                    std::future::pending::<()>().await;
                }
                self.lock().range(&query)
            }
            "/v1/kv-watch" => self.watch(&query).await,
            "/v1/kv-txn" => {
                let response = self.lock().transact(body);
                let is_claim = body["writes"][0]["key"] == "router/planner";
                if is_claim && self.lock().take_lost_claim() {
                    std::future::pending::<()>().await;
                }
                response
            }
            "/v1/kv-lease" => self.lock().lease(body),
            path => self.lock().lease_call(path),
        }
    }

    async fn watch(
        &self,
        query: &HashMap<String, String>,
    ) -> Response<Full<Bytes>> {
        let after: u64 = query["after"].parse().expect("revision is a number");
        let wait: u64 = query["wait_ms"].parse().expect("wait is a number");
        let end = Instant::now() + Duration::from_millis(wait);
        let watches_blocked = {
            let mut state = self.lock();
            state.max_wait = state.max_wait.max(wait);
            state.blocked_watches += u32::from(state.watches_blocked);
            state.watches_blocked
        };
        loop {
            {
                let mut state = self.lock();
                state.expire_leases();
                let events = state.events(after);
                let is_over = Instant::now() >= end;
                if watches_blocked && is_over && !events.is_empty() {
                    return status(StatusCode::GONE);
                }
                if is_over || (!watches_blocked && !events.is_empty()) {
                    let revision = state.visible_revision();
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
    fn take_lost_claim(&mut self) -> bool {
        let lost = self.lost_claims > 0;
        self.lost_claims = 0;
        self.refused_reads += u32::from(lost);
        lost
    }

    fn write(&mut self, key: &str, mut value: Vec<u8>, lease: u64) {
        if let Some(address) = self.address_overrides.get(key) {
            let mut entry: Value =
                serde_json::from_slice(&value).expect("entry is JSON");
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
            if self.hides_after_planner && key == "router/planner" {
                self.hidden_after.get_or_insert(self.revision);
            }
        }
    }

    /// The revision up to which watches report changes.
    fn visible_revision(&self) -> u64 {
        self.hidden_after.unwrap_or(self.revision)
    }

    /// Removes expired leases and their keys.
    fn expire_leases(&mut self) {
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
        let visible = after + 1..=self.visible_revision();
        let changes =
            self.history.iter().filter(|(at, ..)| visible.contains(at));
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
        self.expire_leases();
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        if prefix == "router/" && self.refused_reads > 0 {
            self.refused_reads -= 1;
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
        self.expire_leases();
        let rows =
            body["precondition"].as_array().expect("precondition is a list");
        let is_met = rows.iter().all(|row| {
            let key = row["key"].as_str().expect("key is a string");
            let known = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(known)
        });
        if !is_met {
            return status(StatusCode::PRECONDITION_FAILED);
        }
        for write in body["writes"].as_array().expect("writes are a list") {
            let lease = write["lease"].as_u64().expect("write has a lease");
            if lease != 0 && !self.leases.contains_key(&lease) {
                return status(StatusCode::NOT_FOUND);
            }
            let value = write["value"].as_str().expect("value is a string");
            let value = STANDARD.decode(value).expect("value is base64");
            self.write(
                write["key"].as_str().expect("key is a string"),
                value,
                lease,
            );
        }
        for key in body["remove"].as_array().expect("removals are a list") {
            self.remove(key.as_str().expect("key is a string"));
        }
        reply(&json!({ "revision": self.revision }))
    }

    fn lease(&mut self, body: &Value) -> Response<Full<Bytes>> {
        let text = body["ttl_time"].as_str().expect("duration is a string");
        let millis = text
            .trim_end_matches("ms")
            .parse()
            .expect("duration is in milliseconds");
        let ttl = Duration::from_millis(millis);
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        reply(&json!({ "lease": lease, "ttl_time": text }))
    }

    fn lease_call(&mut self, path: &str) -> Response<Full<Bytes>> {
        self.expire_leases();
        let (call, lease) = path.rsplit_once('/').expect("path has a lease");
        let Ok(lease) = lease.parse::<u64>() else {
            return status(StatusCode::NOT_FOUND);
        };
        if call == "/v1/kv-lease-end" {
            self.end_lease(lease);
            return reply(&json!({}));
        }
        match self.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let text = format!("{}ms", ttl.as_millis());
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

/// Replaces an address in a value, both as text and as `postcard` encodes it.
fn replace_address(value: &[u8], from: SocketAddr, to: SocketAddr) -> Vec<u8> {
    let text = |address: SocketAddr| address.to_string().into_bytes();
    let encoded = |address: SocketAddr| {
        postcard::to_allocvec(&address).expect("address is encoded")
    };
    let value = replace_bytes(value, &text(from), &text(to));
    replace_bytes(&value, &encoded(from), &encoded(to))
}

fn replace_bytes(mut value: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = Vec::with_capacity(value.len());
    while !value.is_empty() {
        if let Some(rest) = value.strip_prefix(from) {
            replaced.extend_from_slice(to);
            value = rest;
        } else {
            replaced.push(value[0]);
            value = &value[1..];
        }
    }
    replaced
}

/// Decodes the percent escapes of a query value.
fn unescaped(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first == b'%' && tail.len() >= 2 {
            let digits =
                std::str::from_utf8(&tail[..2]).expect("escape is ASCII");
            bytes.push(
                u8::from_str_radix(digits, 16).expect("escape is hexadecimal"),
            );
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).expect("value is UTF-8")
}
