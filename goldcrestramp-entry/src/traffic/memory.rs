//! Charges what callers and servers make this VM hold to one account.
//!
//! A charge belongs to the buffer itself, and not to a request: the HTTP
//! library keeps a reference to each buffer until its last byte is sent, so
//! the buffer is charged until then.

use std::{
    fs,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use goldcrestramp_adapter::NodeSettings;
use goldcrestramp_decisions::{
    AwaitedStep, HeldBytes, ReaderId, STREAM_BYTES,
};
use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use tokio::sync::Notify;

use crate::{metrics::EntryMetrics, traffic::reason::EndReason};

/// The buffers of a connection to a server: half of what a streamed body is
/// charged. The heads of responses have to fit.
pub(super) const SERVER_BUFFER_BYTES: usize = 32 * 1024;

/// The memory of a VM whose settings state none, if the system does not tell.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;

/// Closes the connection of a caller.
pub(super) type ConnectionCloser = Arc<Notify>;

/// The account of the bytes that this VM holds.
#[derive(Clone, Debug)]
pub(crate) struct MemoryAccount(Arc<AccountState>);

/// Charges are released by the tasks of the HTTP library, which may be on any
/// thread.
#[derive(Debug)]
struct AccountState {
    held: Mutex<HeldBytes<ConnectionCloser>>,
    next_reader: AtomicU64,
    metrics: Arc<EntryMetrics>,
}

impl MemoryAccount {
    pub(super) fn open(
        settings: &NodeSettings,
        metrics: &Arc<EntryMetrics>,
    ) -> Self {
        let memory = settings.memory_bytes.unwrap_or_else(system_memory);
        let descriptors = settings.max_descriptors.unwrap_or(u64::MAX);
        let held =
            HeldBytes::with_memory(memory).with_descriptors(descriptors);
        log::info!(
            memory = memory,
            bound = held.bound(),
            connections = held.max_connections();
            "[memory] The bounds of what callers can make this VM hold."
        );
        Self(Arc::new(AccountState {
            held: Mutex::new(held),
            next_reader: AtomicU64::new(0),
            metrics: Arc::clone(metrics),
        }))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HeldBytes<ConnectionCloser>> {
        // A panic of the lock's holder leaves the account usable.
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn metrics(&self) -> &EntryMetrics {
        &self.0.metrics
    }

    /// Returns the id of a new connection of a caller.
    pub(super) fn next_reader(&self) -> ReaderId {
        ReaderId(self.0.next_reader.fetch_add(1, Ordering::Relaxed))
    }

    /// Changes the account, and reports when the bound begins or ends to act.
    pub(super) fn update<Out>(
        &self,
        change: impl FnOnce(&mut HeldBytes<ConnectionCloser>) -> Out,
    ) -> Out {
        let mut account = self.lock();
        let was_acting = account.is_acting();
        let out = change(&mut account);
        let (held, bound) = (account.held(), account.bound());
        let is_acting = account.is_acting();
        drop(account);
        let metrics = self.metrics();
        metrics.held_bytes.set(i64::try_from(held).unwrap_or(i64::MAX));
        if is_acting != was_acting {
            let change = if is_acting { "begins" } else { "ends" };
            log::info!(
                held = held,
                bound = bound,
                refused = metrics.memory_refusals.get(),
                closed = metrics.closed_readers.get();
                "[memory] The bound of held bytes {change} to act."
            );
        }
        out
    }

    /// Whether the bound has been reached, and enough has not been released
    /// since.
    pub(super) fn is_acting(&self) -> bool {
        self.lock().is_acting()
    }

    /// Charges a request that is served before those ahead of it have their
    /// responses, if there is room for one.
    pub(super) fn begin_early(&self) -> Option<EarlyCharge> {
        let begins = self.update(HeldBytes::try_begin_early);
        begins.then(|| EarlyCharge(self.clone()))
    }

    /// Whether a request of `bytes` may be sent to a server at which requests
    /// of `in_flight` bytes are in flight.
    pub(super) fn allows_send(&self, in_flight: u64, bytes: u64) -> bool {
        self.lock().allows_send(in_flight, bytes)
    }

    /// The delay after which a refused caller is asked to retry. Callers
    /// return spread over some time.
    pub(super) fn retry_after(&self) -> TimeSpan {
        let expected = self.lock().room_expected_in(MonotonicClock.now());
        expected.percent(rand::random_range(100..150))
    }

    /// Records that a request was refused because all slots are taken.
    pub(super) fn record_contention(&self) {
        self.lock().record_contention(MonotonicClock.now());
    }

    /// Records that a caller is waited for; `held` is what is held for it.
    pub(super) fn record_awaited(
        &self,
        reader: ReaderId,
        step: AwaitedStep,
        held: u64,
        closer: &ConnectionCloser,
    ) {
        let (now, closer) = (MonotonicClock.now(), Arc::clone(closer));
        self.lock().record_awaited(now, reader, step, held, closer);
    }

    /// Records that a caller has taken this step, or has left.
    pub(super) fn record_progress(&self, reader: ReaderId, step: AwaitedStep) {
        self.lock().record_progress(reader, step);
    }

    /// Counts a request that is refused for lack of memory.
    pub(super) fn refuse(&self) -> EndReason {
        self.metrics().memory_refusals.inc();
        EndReason::MemoryFull
    }

    /// Charges what streamed bodies of a request take up.
    pub(super) fn reserve_streams(
        &self,
        streams: u64,
    ) -> Result<Option<HeldCharge>, EndReason> {
        if streams == 0 {
            return Ok(None);
        }
        if !self.update(|held| held.try_hold_streams(streams)) {
            return Err(self.refuse());
        }
        let bytes = STREAM_BYTES * streams;
        Ok(Some(HeldCharge { account: self.clone(), bytes }))
    }

    /// Begins to charge a buffer.
    pub(super) fn charge(&self) -> HeldCharge {
        HeldCharge { account: self.clone(), bytes: 0 }
    }

    /// Charges data that was read from a server for a streamed response.
    pub(super) fn charge_data(&self, bytes: Bytes) -> Bytes {
        let mut charge = self.charge();
        charge.hold(bytes.len());
        charge.attach(bytes)
    }

    /// Charges what a streamed response takes up in the HTTP library, unless
    /// there is no room for it.
    pub(super) fn charge_stream(&self) -> Option<HeldCharge> {
        let has_room = self.update(HeldBytes::try_hold_unreserved_stream);
        let account = self.clone();
        has_room.then(|| HeldCharge { account, bytes: STREAM_BYTES })
    }
}

/// The memory of the system.
fn system_memory() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = total.and_then(|total| total.split_whitespace().next());
    let kilobytes = kilobytes.and_then(|text| text.parse::<u64>().ok());
    kilobytes.map_or(DEFAULT_MEMORY_BYTES, |kilobytes| kilobytes * 1_024)
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldCharge {
    account: MemoryAccount,
    bytes: u64,
}

impl HeldCharge {
    /// Holds bytes that have to be held in any case.
    pub(super) fn hold(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.account.update(|held| held.hold(bytes as u64));
    }

    /// Holds a part of a large response, if it may be buffered.
    pub(super) fn try_hold_response(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let held = self.account.update(|held| held.try_hold_response(bytes));
        self.bytes += if held { bytes } else { 0 };
        held
    }

    /// Holds a part of a request that is `total` bytes long as far as it is
    /// known, if there is room.
    pub(super) fn try_hold_request(
        &mut self,
        bytes: usize,
        total: usize,
    ) -> bool {
        let (bytes, total) = (bytes as u64, total as u64);
        let account = &self.account;
        let held = account.update(|held| held.try_hold_request(bytes, total));
        self.bytes += if held { bytes } else { 0 };
        held
    }

    /// Moves a part of the charge to another one.
    pub(super) fn split(&mut self, bytes: u64) -> Self {
        let bytes = self.bytes.min(bytes);
        self.bytes -= bytes;
        Self { account: self.account.clone(), bytes }
    }

    /// Attaches the charge to a buffer, until the last reference to it is
    /// dropped.
    pub(super) fn attach<Buffer>(self, bytes: Buffer) -> Bytes
    where
        Buffer: AsRef<[u8]> + Send + 'static,
    {
        Bytes::from_owner(ChargedBuffer { bytes, _charge: self })
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.update(|held| held.release(self.bytes));
        }
    }
}

/// A request that is served early, until its turn has come.
#[derive(Debug)]
pub(super) struct EarlyCharge(MemoryAccount);

impl Drop for EarlyCharge {
    fn drop(&mut self) {
        self.0.update(HeldBytes::end_early);
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
