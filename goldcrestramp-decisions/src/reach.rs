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
//!
//! On a full link, a connection takes several round trips of over a second,
//! and no probe gets one either. With [`ReachRule::ProbesAndResponses`], a
//! response that arrives in a round of probes proves that the link is slow and
//! not cut, and another round follows.

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

/// A response that arrives this soon after a round of probes began may have
/// been in flight when the link was cut: two round trips between regions.
const IN_FLIGHT_TIME: TimeSpan = TimeSpan::from_millis(50);

/// How long a planner may be partitioned before it gives up the role: another
/// round of probes fails meanwhile.
const HANDOVER_DELAY: TimeSpan = TimeSpan::from_millis(400);

/// When a VM counts as partitioned.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReachRule {
    /// A round of probes has failed.
    #[default]
    Probes,
    /// A round of probes has failed, and no response of a server has arrived
    /// in it.
    ProbesAndResponses,
}

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
    rule: ReachRule,
    /// When the current round of probes began.
    round_at: LocalTime,
    /// When the last response of any server arrived.
    responded_at: Option<LocalTime>,
}

impl<Server> Default for ReachMonitor<Server> {
    fn default() -> Self {
        let probe_after = LocalTime::default();
        Self {
            unanswered: FastMap::default(),
            unconnected: FastSet::default(),
            stage: ReachStage::Reached { probe_after },
            rule: ReachRule::default(),
            round_at: LocalTime::default(),
            responded_at: None,
        }
    }
}

impl<Server: Eq + Hash> ReachMonitor<Server> {
    /// A monitor with a rule other than the default.
    #[must_use]
    pub fn with_rule(rule: ReachRule) -> Self {
        Self { rule, ..Self::default() }
    }

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
            ReachEvent::Responded => {
                self.unanswered.clear();
                self.responded_at = Some(now);
            }
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
            self.round_at = now;
        }
        due
    }

    /// Records that the next round of probes begins.
    pub const fn begin_round(&mut self, now: LocalTime) {
        self.round_at = now;
    }

    /// When the last response arrived that proves the link, if it did in the
    /// current round of probes.
    fn response_in_round(&self) -> Option<LocalTime> {
        let counted_from = self.round_at + IN_FLIGHT_TIME;
        self.responded_at.filter(|at| {
            self.rule == ReachRule::ProbesAndResponses && *at >= counted_from
        })
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
                match self.response_in_round() {
                    Some(since) => ReachStage::Probing { since },
                    None => ReachStage::Partitioned { since },
                }
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

/// Whether a planner that is partitioned from the servers of a service gives
/// up its role.
///
/// Orders have connections of their own, so a response to one proves that the
/// planner still reaches servers, whatever the probes show.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerReach {
    /// When the last order to a server of the service was answered.
    answered_at: Option<LocalTime>,
}

impl PlannerReach {
    /// Records that an order was answered.
    pub const fn record_answer(&mut self, now: LocalTime) {
        self.answered_at = Some(now);
    }

    /// Whether to give up the role at `now`, after the VM has been partitioned
    /// since `since`. With [`ReachRule::ProbesAndResponses`], the delay counts
    /// from the last answered order.
    #[must_use]
    pub fn gives_up(
        &self,
        now: LocalTime,
        since: LocalTime,
        rule: ReachRule,
    ) -> bool {
        let from = match (rule, self.answered_at) {
            (ReachRule::ProbesAndResponses, Some(answered_at)) => {
                since.max(answered_at)
            }
            _ => since,
        };
        now.since(from) >= HANDOVER_DELAY
    }
}
