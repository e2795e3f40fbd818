//! Switches by which a test takes one safeguard out.

/// One safeguard of the machines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Safeguard {
    /// An extension is void after the end of the grant it extends.
    AcceptBy,
    /// An order for a former run of a server is refused.
    RunNumber,
    /// A server that checks fences refuses an old token.
    FenceCheck,
    /// A voter that has just started confirms nobody for a lease.
    SilentStart,
    /// A new steward moves nothing until the former one's time is over.
    MoveWait,
    /// After a loss: the grant has lapsed, then a majority confirmed.
    LossWait,
    /// A permit ends with the steward's own time.
    PermitBound,
    /// Spans are shortened or lengthened for clocks of unequal rate.
    DriftAllowance,
    /// The roster changes by one voter, the next after a majority.
    RosterStep,
    /// A server that checks no fence waits for its former keeper's permit.
    KeeperWait,
    /// An order that arrives after its own deadline is refused.
    LateOrder,
    /// A copy of an answered grant may still reach a server without fences.
    GrantCopy,
    /// A server's new run is granted nothing under a permit of before it.
    RunPermit,
    /// A candidate reduces only a roster by which a steward has counted.
    RosterAdopted,
    /// A steward whose time has ended is not confirmed by a late answer.
    LateAnswer,
}

/// All safeguards, less at most one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Safeguards {
    off: Option<Safeguard>,
}

impl Safeguards {
    /// Everything but `off`, for tests that must fail without it.
    #[must_use]
    pub const fn without(off: Safeguard) -> Self {
        Self { off: Some(off) }
    }

    /// Whether this safeguard is in place.
    #[must_use]
    pub const fn has(self, safeguard: Safeguard) -> bool {
        match self.off {
            Some(off) => off as u8 != safeguard as u8,
            None => true,
        }
    }
}
