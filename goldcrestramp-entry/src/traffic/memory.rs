//! Charges bodies to the account of held bytes, and closes slow readers.
//!
//! A charge belongs to the buffer itself, and not to a request: the HTTP
//! library keeps a reference to each buffer until its last byte is sent, so
//! the buffer is charged until then. Without an account, bodies are buffered
//! and not charged.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    mem,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use goldcrestramp_adapter::NodeSettings;
use goldcrestramp_decisions::{
    HeldBytes, ReaderId, SMALL_BODY_BYTES, STREAM_BYTES,
};
use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::{
    io::AsyncWrite,
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::Notify,
    task::spawn_local,
    time::{interval, timeout},
};

use crate::{metrics::EntryMetrics, traffic::reason::EndReason};

/// Data is handed to the HTTP library in chunks of at most this size.
pub(super) const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The buffers of a connection to a server while there is an account: half of
/// what a streamed body is charged. The heads of responses have to fit.
const SERVER_BUFFER_BYTES: usize = 32 * 1024;

/// The bytes that the system queues for a caller beyond what the caller's
/// receive window takes. The default of several megabytes would hide for long
/// whether a slow reader makes progress.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// How often the stalled readers are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long the rest of a refused body is read, so that its caller gets the
/// response.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// The account of this VM, if its settings ask for one.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryAccount(Option<Arc<ActiveAccount>>);

/// The account of held bytes. Charges are released by the tasks of the HTTP
/// library, which may be on any thread.
#[derive(Debug)]
pub(crate) struct ActiveAccount {
    held: Mutex<HeldBytes<Arc<Notify>>>,
    next_reader: AtomicU64,
    metrics: Arc<EntryMetrics>,
}

impl MemoryAccount {
    /// Opens an account if load control is on and the memory is limited.
    pub(super) fn open(
        settings: &NodeSettings,
        metrics: &Arc<EntryMetrics>,
    ) -> Self {
        let memory = settings.memory_bytes.filter(|_| settings.load_control);
        Self(memory.map(|memory| {
            Arc::new(ActiveAccount {
                held: Mutex::new(HeldBytes::with_memory(memory)),
                next_reader: AtomicU64::new(0),
                metrics: Arc::clone(metrics),
            })
        }))
    }

    pub(super) const fn active(&self) -> Option<&Arc<ActiveAccount>> {
        self.0.as_ref()
    }

    /// The buffer size of connections to servers; `None` for the default.
    pub(super) fn server_buffer(&self) -> Option<usize> {
        self.active().map(|_account| SERVER_BUFFER_BYTES)
    }

    /// Whether a request of `bytes` may be sent to a server at which requests
    /// of `in_flight` bytes are in flight.
    pub(super) fn allows_send(&self, in_flight: u64, bytes: u64) -> bool {
        self.active()
            .is_none_or(|account| account.lock().allows_send(in_flight, bytes))
    }

    /// Charges what streamed bodies of a request take up.
    pub(super) fn reserve_streams(
        &self,
        streams: u64,
    ) -> Result<Option<HeldCharge>, EndReason> {
        let Some(account) = self.active().filter(|_| streams > 0) else {
            return Ok(None);
        };
        let held = account.update(|held| held.try_hold_streams(streams));
        if !held {
            return Err(account.refuse());
        }
        let bytes = STREAM_BYTES * streams;
        Ok(Some(HeldCharge { account: Arc::clone(account), bytes }))
    }

    /// The delay after which a refused caller is asked to retry. Callers
    /// return spread over some time.
    pub(super) fn retry_after(&self) -> Option<TimeSpan> {
        let now = MonotonicClock.now();
        let expected = self.active()?.lock().room_expected_in(now);
        Some(expected.percent(rand::random_range(100..150)))
    }

    /// Follows how a caller reads from its connection.
    pub(super) fn open_reader(
        &self,
        stream: &TcpStream,
    ) -> Option<ReaderGuard> {
        let account = self.active()?;
        let unsent =
            SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        if let Err(error) = unsent {
            log::debug!("[memory] Limiting unsent bytes failed: {error}.");
        }
        let id = account.next_reader.fetch_add(1, Ordering::Relaxed);
        Some(ReaderGuard {
            account: Arc::clone(account),
            id: ReaderId(id),
            closer: Arc::default(),
            held: Cell::default(),
            blocked: Cell::default(),
        })
    }
}

impl ActiveAccount {
    fn lock(&self) -> MutexGuard<'_, HeldBytes<Arc<Notify>>> {
        // A panic of the lock's holder leaves the account usable.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the account, and reports when the bound begins or ends to act.
    fn update<Out>(
        &self,
        change: impl FnOnce(&mut HeldBytes<Arc<Notify>>) -> Out,
    ) -> Out {
        let mut account = self.lock();
        let was_acting = account.is_acting();
        let out = change(&mut account);
        let (held, bound) = (account.held(), account.bound());
        let is_acting = account.is_acting();
        drop(account);
        let gauge = i64::try_from(held).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(gauge);
        if is_acting != was_acting {
            let change = if is_acting { "begins" } else { "ends" };
            log::info!(
                held = held,
                bound = bound,
                refused = self.metrics.memory_refusals.get(),
                closed = self.metrics.closed_readers.get();
                "[memory] The bound of held bytes {change} to act."
            );
        }
        out
    }

    fn refuse(&self) -> EndReason {
        self.metrics.memory_refusals.inc();
        EndReason::MemoryFull
    }

    /// Begins to charge a buffer.
    fn charge(self: &Arc<Self>) -> HeldCharge {
        HeldCharge { account: Arc::clone(self), bytes: 0 }
    }

    /// Charges data that was read from a server for a streamed response.
    pub(super) fn charge_data(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let mut charge = self.charge();
        charge.hold(bytes.len());
        Bytes::from_owner(ChargedBuffer { bytes, _charge: charge })
    }

    /// Charges what a streamed response takes up in the HTTP library.
    pub(super) fn charge_stream(self: &Arc<Self>) -> HeldCharge {
        let mut charge = self.charge();
        charge.bytes = STREAM_BYTES;
        self.update(|held| held.hold(STREAM_BYTES));
        charge
    }

    /// Reads a request's body completely, unless there is no room for it.
    pub(super) async fn read_request(
        self: &Arc<Self>,
        mut body: Incoming,
        stated: Option<u64>,
        max_bytes: u64,
    ) -> Result<Bytes, EndReason> {
        let expected = stated.unwrap_or(0);
        if !self.update(|held| held.has_room_for_request(expected)) {
            discard(body);
            return Err(self.refuse());
        }
        let mut charge = self.charge();
        // Growing the buffer step by step leaves gaps in the heap that are as
        // large as the body. What is reserved and unused is not resident.
        let capacity = usize::try_from(expected).unwrap_or(usize::MAX);
        let mut bytes = Vec::with_capacity(capacity);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_error| EndReason::BodyBroken)?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            let total = (bytes.len() + data.len()) as u64;
            if total > max_bytes {
                return Err(EndReason::BodyTooLarge);
            }
            if !charge.try_hold_request(data.len(), expected.max(total)) {
                discard(body);
                return Err(self.refuse());
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        let buffer = ChargedBuffer { bytes, _charge: charge };
        Ok(Bytes::from_owner(buffer))
    }
}

/// Reads and drops the rest of a refused body. If its connection was closed
/// with unread bytes instead, the caller could lose the response.
pub(super) fn discard(mut body: Incoming) {
    spawn_local(async move {
        let drained =
            async { while let Some(Ok(_frame)) = body.frame().await {} };
        // A caller that still sends after that is disconnected.
        let _in_time = timeout(DISCARD_TIME, drained).await;
    });
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldCharge {
    account: Arc<ActiveAccount>,
    bytes: u64,
}

impl HeldCharge {
    fn hold(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.account.update(|held| held.hold(bytes as u64));
    }

    /// Moves a part of the charge to another one.
    fn split(&mut self, bytes: usize) -> Self {
        let bytes = self.bytes.min(bytes as u64);
        self.bytes -= bytes;
        Self { account: Arc::clone(&self.account), bytes }
    }

    fn try_hold_response(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let held = self.account.update(|held| held.try_hold_response(bytes));
        self.bytes += if held { bytes } else { 0 };
        held
    }

    fn try_hold_request(&mut self, bytes: usize, total: u64) -> bool {
        let bytes = bytes as u64;
        let account = &self.account;
        let held = account.update(|held| held.try_hold_request(bytes, total));
        self.bytes += if held { bytes } else { 0 };
        held
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.update(|held| held.release(self.bytes));
        }
    }
}

/// A buffer that is charged until the last reference to it is dropped.
struct ChargedBuffer<Buffer> {
    bytes: Buffer,
    _charge: HeldCharge,
}

impl<Buffer: AsRef<[u8]>> AsRef<[u8]> for ChargedBuffer<Buffer> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Buffers a response in chunks, each of which is released once it is sent.
pub(super) struct ChunkWriter {
    chunks: Vec<Bytes>,
    chunk: Vec<u8>,
    charge: HeldCharge,
    len: usize,
}

impl ChunkWriter {
    pub(super) fn new(account: &Arc<ActiveAccount>) -> Self {
        let charge = account.charge();
        let (chunks, chunk) = (Vec::new(), Vec::new());
        Self { chunks, chunk, charge, len: 0 }
    }

    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Adds data that has arrived. Returns whether the response may be
    /// buffered further; small ones always may.
    pub(super) fn push(&mut self, data: &[u8]) -> bool {
        self.len += data.len();
        let is_small = self.len as u64 <= SMALL_BODY_BYTES;
        let has_room = !is_small && self.charge.try_hold_response(data.len());
        if !has_room {
            self.charge.hold(data.len());
        }
        self.append(data);
        is_small || has_room
    }

    /// Fills chunks of one size, so that the heap has no gaps that none of
    /// them fits into.
    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let space = MAX_CHUNK_BYTES - self.chunk.len();
            let (part, rest) = data.split_at(space.min(data.len()));
            if !rest.is_empty() || !self.chunk.is_empty() {
                self.chunk.reserve_exact(space);
            }
            self.chunk.extend_from_slice(part);
            if self.chunk.len() == MAX_CHUNK_BYTES {
                self.finish_chunk();
            }
            data = rest;
        }
    }

    fn finish_chunk(&mut self) {
        let mut bytes = mem::take(&mut self.chunk);
        bytes.shrink_to_fit();
        let charge = self.charge.split(bytes.len());
        let buffer = ChargedBuffer { bytes, _charge: charge };
        self.chunks.push(Bytes::from_owner(buffer));
    }

    pub(super) fn finish(mut self) -> Vec<Bytes> {
        if !self.chunk.is_empty() {
            self.finish_chunk();
        }
        self.chunks
    }
}

/// Follows whether a caller takes the bytes that are written to it.
#[derive(Debug)]
pub(crate) struct ReaderGuard {
    account: Arc<ActiveAccount>,
    id: ReaderId,
    closer: Arc<Notify>,
    /// The bytes that were held for the response when it began.
    held: Cell<u64>,
    blocked: Cell<bool>,
}

impl ReaderGuard {
    /// Records the bytes that are held for the next response.
    pub(super) fn begin_response(&self, held: u64) {
        self.held.set(held);
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn wait_closed(&self) {
        self.closer.notified().await;
        self.account.metrics.closed_readers.inc();
    }

    fn record<Out>(&self, written: &Poll<io::Result<Out>>) {
        let is_blocked = written.is_pending();
        if self.blocked.replace(is_blocked) == is_blocked {
            return;
        }
        let mut account = self.account.lock();
        if is_blocked {
            let now = MonotonicClock.now();
            let closer = Arc::clone(&self.closer);
            account.record_blocked(now, self.id, self.held.get(), closer);
        } else {
            account.record_progress(self.id);
        }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.account.lock().record_progress(self.id);
    }
}

/// Waits until a connection is to be closed because its caller reads too
/// slowly; without an account, for ever.
pub(super) async fn wait_closed(reader: Option<&ReaderGuard>) {
    match reader {
        Some(reader) => reader.wait_closed().await,
        None => std::future::pending().await,
    }
}

/// Closes stalled readers while the bound acts.
pub(super) async fn close_stalled_readers(account: MemoryAccount) {
    let Some(account) = account.active() else { return };
    let mut checks = interval(CHECK_INTERVAL);
    loop {
        checks.tick().await;
        let stalled = account.lock().take_stalled(MonotonicClock.now());
        for closer in stalled {
            closer.notify_one();
        }
    }
}

/// The side of a caller's connection that the HTTP library writes.
#[derive(Debug)]
pub(super) struct CallerWriter {
    stream: OwnedWriteHalf,
    reader: Option<Rc<ReaderGuard>>,
}

impl CallerWriter {
    pub(super) const fn new(
        stream: OwnedWriteHalf,
        reader: Option<Rc<ReaderGuard>>,
    ) -> Self {
        Self { stream, reader }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if let Some(reader) = &self.reader {
            reader.record(written);
        }
    }
}

impl AsyncWrite for CallerWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
