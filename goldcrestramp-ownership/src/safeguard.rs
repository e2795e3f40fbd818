//! Safeguards of the machines, and switches for tests to disable one.

/// A rule of the machines that keeps a slice from having two owners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Safeguard {
    /// A server refuses an extension after the end of the grant that it
    /// extends.
    AcceptBy,
    /// A server refuses an order for a previous instance (an earlier run of
    /// its process).
    RunNumber,
    /// A server that checks fences refuses an old token.
    FenceCheck,
    /// A voter confirms nobody for a lease after its start.
    SilentStart,
    /// A new steward moves no slice until the previous one's time has
    /// ended.
    MoveWait,
    /// The slices of a lost server are moved only after its grant has lapsed
    /// and a majority has confirmed the steward since.
    LossWait,
    /// A permit ends no later than the steward's own time.
    PermitBound,
    /// Spans are shortened or lengthened for clocks of unequal rate.
    DriftAllowance,
    /// A roster changes by one voter, and the next change waits until a
    /// majority of the new roster has confirmed.
    RosterStep,
    /// A server without fences gets a new keeper only after the previous
    /// keeper's permit has ended.
    KeeperWait,
    /// A server refuses an order that arrives after its own deadline.
    LateOrder,
    /// A keeper assumes that a duplicate of an acknowledged grant may still
    /// reach a server without fences.
    GrantCopy,
    /// A later, shorter permit does not shorten a longer one of the same
    /// term.
    LongestPermit,
    /// No extension prolongs slices that a late grant may have restored.
    NamedSet,
    /// A server's new instance is granted nothing under a permit from before
    /// its start.
    RunPermit,
    /// A candidate removes a voter only from a roster that a steward has
    /// adopted.
    RosterAdopted,
    /// A late confirmation does not revive a steward whose time has ended.
    LateAnswer,
}

/// All safeguards, except for at most one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Safeguards {
    disabled: Option<Safeguard>,
}

impl Safeguards {
    /// All safeguards but `disabled`, for tests that must fail without it.
    #[must_use]
    pub const fn without(disabled: Safeguard) -> Self {
        Self { disabled: Some(disabled) }
    }

    /// Whether `safeguard` is active.
    #[must_use]
    pub const fn has(self, safeguard: Safeguard) -> bool {
        match self.disabled {
            Some(disabled) => disabled as u8 != safeguard as u8,
            None => true,
        }
    }
}
