//! Detects that a VM has lost its links to all servers of a service.
//!
//! Request by request, such a VM looks like one whose servers fail. If it
//! treats it like that, it suspends each of its servers, holds requests that
//! other VMs could serve, and, if it plans, lets grants expire.
//!
//! Failed requests alone prove nothing: servers that are overloaded, frozen
//! or being replaced are silent and reset connections too. So failures at
//! several servers, without a sign of any other, only call for probes: new
//! connections to servers drawn from all of the service. An overloaded server
//! still accepts a connection. Only if none of the probes gets one, the VM
//! counts as partitioned from the service.

use std::hash::Hash;

use goldcrestramp_types::{FastMap, FastSet, LocalTime, TimeSpan};

/// The number of servers that have to fail before probes are sent. One or two
/// fail together often, as when their rack is lost.
const SUSPECT_SERVERS: usize = 3;

/// A request that has waited this long for a response counts as a failure of
/// its server, as long as no server of the service responds.
const SILENCE: TimeSpan = TimeSpan::from_millis(300);

/// Probes are not sent again this soon after some that succeeded: the servers
/// are overloaded rather than out of reach.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// What happened on the way to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachEvent {
    /// An attempt at a request began.
    Started,
    /// The head of a response arrived.
    Responded,
    /// A connection ended before the response to a request.
    Broken,
    /// A connection was opened.
    Connected,
    /// No connection could be opened.
    Unconnected,
}

/// Whether the servers of a service can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReachStage {
    /// They can, as far as is known. No probes are sent before this time.
    Reached { probe_after: LocalTime },
    /// Probes are being sent since this time.
    Probing { since: LocalTime },
    /// All probes have failed since this time.
    Partitioned { since: LocalTime },
}

/// The reach of one VM towards the servers of one service.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{ReachEvent, ReachMonitor};
/// use goldcrestramp_types::LocalTime;
///
/// let now = LocalTime::from_micros(0);
/// let mut monitor = ReachMonitor::default();
/// for server in 0..3 {
///     monitor.record(now, server, ReachEvent::Unconnected);
/// }
/// assert!(monitor.try_probe(now, 8));
/// monitor.record_probes(now, false);
/// assert!(monitor.partitioned_since().is_some());
/// ```
#[derive(Clone, Debug)]
pub struct ReachMonitor<Server> {
    /// The servers at which an attempt began since the last response of any
    /// server, each with the time from which on that counts as a failure.
    unanswered: FastMap<Server, LocalTime>,
    /// The servers to which no connection could be opened since the last one
    /// to any server was.
    unconnected: FastSet<Server>,
    stage: ReachStage,
}

impl<Server> Default for ReachMonitor<Server> {
    fn default() -> Self {
        let probe_after = LocalTime::default();
        Self {
            unanswered: FastMap::default(),
            unconnected: FastSet::default(),
            stage: ReachStage::Reached { probe_after },
        }
    }
}

impl<Server: Eq + Hash> ReachMonitor<Server> {
    /// Records what happened on the way to a server.
    ///
    /// Neither a response nor a connection ends a partition, as open
    /// connections may work while new ones are refused, and a connection may
    /// be one that began before the cut: only probes do.
    pub fn record(
        &mut self,
        now: LocalTime,
        server: Server,
        event: ReachEvent,
    ) {
        match event {
            ReachEvent::Started => {
                self.unanswered.entry(server).or_insert(now + SILENCE);
            }
            ReachEvent::Responded => self.unanswered.clear(),
            ReachEvent::Broken => {
                self.unanswered.insert(server, now);
            }
            ReachEvent::Connected => self.unconnected.clear(),
            ReachEvent::Unconnected => {
                self.unconnected.insert(server);
            }
        }
    }

    /// Begins to probe if enough of the service's `servers` have failed;
    /// returns whether the caller is to send probes.
    ///
    /// The loss of a service's only server can't be told from a partition.
    pub fn try_probe(&mut self, now: LocalTime, servers: usize) -> bool {
        let unanswered = self.unanswered.values();
        let silent = unanswered.filter(|failed_at| **failed_at <= now).count();
        let failed = silent.max(self.unconnected.len());
        servers >= 2
            && failed >= SUSPECT_SERVERS.min(servers)
            && self.begin_probe(now)
    }

    /// Begins to probe, whatever has failed here: the servers of another
    /// service turned out to be unreachable. Returns whether the caller is to
    /// send probes.
    pub fn begin_probe(&mut self, now: LocalTime) -> bool {
        let due = matches!(
            self.stage,
            ReachStage::Reached { probe_after } if probe_after <= now
        );
        if due {
            self.stage = ReachStage::Probing { since: now };
        }
        due
    }

    /// Records the result of a round of probes: whether any of them opened a
    /// connection. Returns whether the state of the partition has changed.
    pub fn record_probes(&mut self, now: LocalTime, reached: bool) -> bool {
        let previous = self.stage;
        self.stage = match (previous, reached) {
            (_, true) => {
                self.unanswered.clear();
                self.unconnected.clear();
                let probe_after = now + PROBE_INTERVAL;
                ReachStage::Reached { probe_after }
            }
            (ReachStage::Probing { since }, false) => {
                ReachStage::Partitioned { since }
            }
            (unchanged, false) => unchanged,
        };
        let was_partitioned =
            matches!(previous, ReachStage::Partitioned { .. });
        was_partitioned != self.partitioned_since().is_some()
    }

    /// Since when the VM has been partitioned from the servers, if it is.
    #[must_use]
    pub const fn partitioned_since(&self) -> Option<LocalTime> {
        match self.stage {
            ReachStage::Partitioned { since } => Some(since),
            ReachStage::Reached { .. } | ReachStage::Probing { .. } => None,
        }
    }
}
