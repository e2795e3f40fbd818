//! One round of the planner for one service.

use goldcrestramp_config::TouchMark;
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, SliceIndex, SliceSet,
};

use super::{
    division::{DivisionTally, divide},
    policy::ServicePolicy,
    record::{ServiceRecord, SliceHolding},
};
use crate::plan::StrandedCause;

/// The most slices of a service that are on the move at once.
///
/// Each is without an owner for a moment when its holder releases it; 256
/// of 4,096 keep that to a sixteenth of the keys, and an entry of the
/// record takes 12 bytes.
const MOVING_LIMIT: usize = 256;

/// The part of a larger service's slices that are on the move at once.
///
/// With 256 of 65,536 a domain's third would take 85 rounds, and a leaving
/// server would serve for half a minute.
const MOVING_PART: usize = 16;

/// What a domain's own record says of the service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainView {
    /// The slices that its servers hold.
    pub held: SliceSet,
    /// The slices that it has released.
    pub released: SliceSet,
    /// Why none of its servers can be given any, if none can.
    pub stranded: Option<StrandedCause>,
}

/// A move between failure domains that placement asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainMove {
    /// The slice.
    pub slice: SliceIndex,
    /// The domain that is to hold it.
    pub target: DomainName,
}

/// The service's record has been read; the domains' records are next.
///
/// The order matters. A release read *before* the record may belong to an
/// earlier move of the same slice: the slice has come back since, is held
/// again, and a new move would be taken as done while a server still owns
/// it. Read after the record, a release belongs to the move it shows.
#[derive(Clone, Debug)]
pub struct RecordStage {
    record: Option<ServiceRecord>,
}

/// Both have been read, in this order; a decision can be made.
#[derive(Clone, Debug)]
pub struct ViewStage {
    record: Option<ServiceRecord>,
    views: FastMap<DomainName, DomainView>,
}

/// Starts rounds.
#[derive(Clone, Copy, Debug)]
pub struct PlannerRound;

impl PlannerRound {
    /// Starts a round with the service's record as just read.
    #[must_use]
    pub const fn start(record: Option<ServiceRecord>) -> RecordStage {
        RecordStage { record }
    }
}

impl RecordStage {
    /// The domains whose records a decision needs; none when nothing is
    /// on the move and nobody has to leave.
    ///
    /// `stranded`: the domains that were last heard to have no server for
    /// the service; a hint, which their records confirm or not.
    #[must_use]
    pub fn needs(
        &self,
        policy: &ServicePolicy,
        stranded: &FastSet<DomainName>,
    ) -> Vec<DomainName> {
        let places = policy.shares.iter().map(|share| &share.domain);
        let Some(record) = &self.record else {
            // The first record needs to know that there was none before.
            return places.chain(&policy.lost).cloned().collect();
        };
        let moving = record.slices.iter().any(|h| h.target.is_some());
        let misplaced = record.domains.iter().any(|domain| {
            let fit = policy.allows(&domain.name)
                && !stranded.contains(&domain.name);
            !fit && !record.held_by(&domain.name).is_empty()
        });
        if !moving && !misplaced {
            return Vec::new();
        }
        let holders = record.domains.iter().map(|domain| &domain.name);
        let mut needed: Vec<DomainName> =
            places.chain(holders).cloned().collect();
        needed.sort_unstable();
        needed.dedup();
        needed
    }

    /// Takes the domains' records as read after the service's.
    ///
    /// A domain whose record does not exist has an empty view; one whose
    /// record could not be read is left out, and nothing is begun or ended
    /// there.
    #[must_use]
    pub fn viewed(self, views: FastMap<DomainName, DomainView>) -> ViewStage {
        ViewStage { record: self.record, views }
    }
}

impl ViewStage {
    /// The record to write over the one that was read; `None`: nothing is
    /// to change.
    #[must_use]
    pub fn decide(
        self,
        policy: &ServicePolicy,
        asked: &[DomainMove],
    ) -> Option<ServiceRecord> {
        let Some(before) = self.record else {
            return first_record(policy, &self.views);
        };
        if before.slices.len() != policy.count.get() as usize {
            return None;
        }
        if !knows_tickets(&before, policy) {
            return None;
        }
        let views = self.views;
        let mut change =
            RecordChange { record: before.clone(), views, policy };
        change.note_tickets();
        change.end_moves();
        change.take_from_lost();
        change.redirect();
        change.expel();
        change.evacuate();
        change.begin(asked);
        let mut record = change.record;
        if record == before {
            return None;
        }
        record.revision += 1;
        Some(record)
    }
}

/// Whether the policy is as new as the one that the record was made by.
///
/// A planner that was paused may know a domain as lost that has returned
/// and holds its slices again; it must not take them.
fn knows_tickets(record: &ServiceRecord, policy: &ServicePolicy) -> bool {
    let known = |name: &DomainName, ticket: TouchMark| {
        policy.tickets.get(name).is_none_or(|known| *known >= ticket)
    };
    record.domains.iter().all(|domain| known(&domain.name, domain.ticket))
}

/// The first record of a service.
///
/// When domains already have slices on record, the service's record has
/// been lost with older data of the store: it is rebuilt from theirs, and
/// what none holds is divided. A new division would give slices away that
/// servers own. It needs every domain's view, for the same reason.
fn first_record(
    policy: &ServicePolicy,
    views: &FastMap<DomainName, DomainView>,
) -> Option<ServiceRecord> {
    let known = |share: &DomainName| views.contains_key(share);
    let domains = policy.shares.iter().map(|share| &share.domain);
    if !domains.chain(&policy.lost).all(known) {
        return None;
    }
    let mut record = divide(policy)?;
    let mut seen = SliceSet::new();
    let mut names: Vec<&DomainName> = views.keys().collect();
    names.sort_unstable();
    for domain in names {
        let held = &views[domain].held;
        if seen.overlaps(held) {
            return None;
        }
        seen.union_with(held);
        let position = intern(&mut record, domain, policy)?;
        for slice in held.iter() {
            let holding = record.slices.get_mut(slice.position())?;
            holding.domain = position;
        }
    }
    Some(record)
}

/// A record while it is being changed.
#[derive(Debug)]
struct RecordChange<'a> {
    record: ServiceRecord,
    views: FastMap<DomainName, DomainView>,
    policy: &'a ServicePolicy,
}

impl RecordChange<'_> {
    /// Notes the tickets that this change takes account of.
    fn note_tickets(&mut self) {
        for domain in &mut self.record.domains {
            let known = self.policy.ticket_of(&domain.name);
            domain.ticket = domain.ticket.max(known);
        }
    }

    /// Makes targets the holders of what has been released to them.
    fn end_moves(&mut self) {
        for slice in self.policy.count.indices() {
            let Some(target) = self.holding(slice).target else {
                continue;
            };
            let domain = self.record.domain_of(slice);
            if domain.is_some_and(|domain| self.released(domain, slice)) {
                self.set(slice, SliceHolding { domain: target, target: None });
            }
        }
    }

    /// Gives the slices of lost domains to others, without a release.
    fn take_from_lost(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        for slice in self.policy.count.indices() {
            let domain = self.record.domain_of(slice);
            if domain.is_none_or(|d| !self.policy.may_take_from(d)) {
                continue;
            }
            if let Some(target) = self.choose(slice, &mut tally) {
                self.set(slice, SliceHolding { domain: target, target: None });
            }
        }
    }

    /// Turns moves whose target may not hold the slice any more.
    ///
    /// A move is never called off: its holder may have released the slice
    /// already, and would have to take that back before it could grant.
    fn redirect(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        for slice in self.policy.count.indices() {
            let target = self.record.target_of(slice);
            if target.is_none_or(|target| self.is_usable(target)) {
                continue;
            }
            if let Some(target) = self.choose(slice, &mut tally) {
                let domain = self.holding(slice).domain;
                let target = Some(target);
                self.set(slice, SliceHolding { domain, target });
            }
        }
    }

    /// Moves slices out of domains where the rules no longer let them be.
    fn expel(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        let mut room = self.room();
        for slice in self.policy.count.indices() {
            let domain = self.record.domain_of(slice);
            if domain.is_none_or(|domain| self.policy.allows(domain)) {
                continue;
            }
            if room == 0 || !self.may_begin(slice) {
                continue;
            }
            if let Some(target) = self.choose(slice, &mut tally) {
                room -= usize::from(self.aim(slice, target));
            }
        }
    }

    /// Moves slices out of domains that have no server for them.
    ///
    /// Where all servers are lost, nobody serves the slices, so all of them
    /// go at once; a server that leaves gives them up bit by bit. They do
    /// not come back by themselves: each move costs callers a wait.
    fn evacuate(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        let mut room = self.room();
        for slice in self.policy.count.indices() {
            let Some(cause) = self.cause(slice) else {
                continue;
            };
            let full = cause == StrandedCause::Leaving && room == 0;
            if full || !self.may_begin(slice) {
                continue;
            }
            if let Some(target) = self.choose(slice, &mut tally) {
                let begun = usize::from(self.aim(slice, target));
                room = room.saturating_sub(begun);
            }
        }
    }

    /// Why the domain of `slice` has no server for it, if it has none.
    fn cause(&self, slice: SliceIndex) -> Option<StrandedCause> {
        let domain = self.record.domain_of(slice)?;
        self.views.get(domain)?.stranded
    }

    /// Whether `domain` may hold slices and has servers for them, as far
    /// as is known.
    fn is_usable(&self, domain: &DomainName) -> bool {
        let stranded = |view: &DomainView| view.stranded.is_some();
        let allowed = self.policy.allows(domain);
        allowed && !self.views.get(domain).is_some_and(stranded)
    }

    /// Begins the moves that were asked for and are possible.
    fn begin(&mut self, asked: &[DomainMove]) {
        let mut room = self.room();
        for wanted in asked {
            let allowed = self.is_usable(&wanted.target);
            let fit = self.may_take(&wanted.target, wanted.slice);
            if room == 0 || !allowed || !fit || !self.may_begin(wanted.slice) {
                continue;
            }
            if let Some(target) =
                intern(&mut self.record, &wanted.target, self.policy)
            {
                room -= usize::from(self.aim(wanted.slice, target));
            }
        }
    }

    /// Whether a move of `slice` may begin.
    ///
    /// A release that is on record *before* the move begins would end the
    /// move at once, with the slice still held.
    fn may_begin(&self, slice: SliceIndex) -> bool {
        let Some(holding) = self.record.holding(slice) else {
            return false;
        };
        let Some(domain) = self.record.domain_of(slice) else {
            return false;
        };
        holding.target.is_none() && self.may_take(domain, slice)
    }

    /// How many more moves may begin.
    fn room(&self) -> usize {
        let moving = self.record.slices.iter().filter(|h| h.target.is_some());
        let share = self.record.slices.len() / MOVING_PART;
        MOVING_LIMIT.max(share).saturating_sub(moving.count())
    }

    /// Whether `domain` has nothing old on record that would keep it from
    /// granting the slice.
    ///
    /// A steward takes a release off its record once the slice has another
    /// holder. Given the slice before that, it would not know whether the
    /// release is the old one, and would grant nothing.
    fn may_take(&self, domain: &DomainName, slice: SliceIndex) -> bool {
        let view = self.views.get(domain);
        view.is_some_and(|view| !view.released.contains(slice))
    }

    /// The domain that is to get `slice`: fewest slices for its capacity.
    fn choose(
        &mut self,
        slice: SliceIndex,
        tally: &mut DivisionTally<'_>,
    ) -> Option<u16> {
        let holder = self.record.domain_of(slice).cloned();
        let domain = tally.take(|domain| {
            let other = holder.as_ref() != Some(domain);
            let usable = self.is_usable(domain);
            other && usable && self.may_take(domain, slice)
        })?;
        intern(&mut self.record, &domain, self.policy)
    }

    fn released(&self, domain: &DomainName, slice: SliceIndex) -> bool {
        let view = self.views.get(domain);
        view.is_some_and(|view| view.released.contains(slice))
    }

    fn holding(&self, slice: SliceIndex) -> SliceHolding {
        self.record.slices[slice.position()]
    }

    fn set(&mut self, slice: SliceIndex, holding: SliceHolding) {
        self.record.slices[slice.position()] = holding;
    }

    /// Notes that `slice` is to go to `target`; false if it is there.
    fn aim(&mut self, slice: SliceIndex, target: u16) -> bool {
        let domain = self.holding(slice).domain;
        let away = domain != target;
        if away {
            let target = Some(target);
            self.set(slice, SliceHolding { domain, target });
        }
        away
    }
}

/// The position of `domain` in the record, where it is added if need be.
fn intern(
    record: &mut ServiceRecord,
    domain: &DomainName,
    policy: &ServicePolicy,
) -> Option<u16> {
    if let Some(position) = record.position(domain) {
        return Some(position);
    }
    record.domains.push(policy.record_domain(domain));
    u16::try_from(record.domains.len() - 1).ok()
}
