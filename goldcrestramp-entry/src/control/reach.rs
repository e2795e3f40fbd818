//! Gives up planning on a VM that reaches no server.
//!
//! Orders are never passed through another VM: one that is held up there could
//! take effect after a successor's orders. So the role moves to a VM that
//! reaches the servers, well before the grants of the last renewal expire.

use std::sync::Arc;

use goldcrestramp_adapter::{KeyCondition, StoreCall, StoreTransaction};
use goldcrestramp_decisions::ReachEvent;
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::{
    control::{ControlActor, message::OrderEnded},
    records::PLANNER_KEY,
};

/// How much longer than other VMs one that is partitioned waits before it
/// claims to be the planner. If it claims at all, every VM is.
pub(crate) const PARTITIONED_CLAIM_DELAY: TimeSpan =
    TimeSpan::from_millis(3_000);

/// How long after an attempt to remove the planner's record the next one is
/// made, if the record is still there.
const REMOVAL_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

impl ControlActor {
    /// Whether this VM is partitioned from the servers of a sharded service.
    pub(crate) fn is_partitioned(&self) -> bool {
        !self.partitions().is_empty()
    }

    /// The sharded services from whose servers this VM is partitioned, each
    /// with the time since when it is.
    fn partitions(&self) -> Vec<(&str, LocalTime)> {
        let Some(routes) = &self.view.routes else { return Vec::new() };
        let sharded = routes.sharded();
        let partitioned = sharded.filter_map(|service| {
            Some((&**service, self.reach.partitioned_since(service)?))
        });
        partitioned.collect()
    }

    /// Whether the planner has been partitioned for long enough to give up its
    /// role.
    fn is_partition_long(&self, now: LocalTime) -> bool {
        let Some(term) = &self.term else { return false };
        let rule = self.reach.rule();
        self.partitions().into_iter().any(|(service, since)| {
            let answers = term.answers.get(service).copied();
            answers.unwrap_or_default().gives_up(now, since, rule)
        })
    }

    /// Gives up the role of the planner if this VM no longer reaches the
    /// servers, and another VM may.
    pub(crate) fn hand_over_if_partitioned(&mut self, now: LocalTime) {
        let is_partitioned = self.is_partitioned();
        let is_long = is_partitioned && self.is_partition_long(now);
        let is_alone = self.view.vms.len() < 2;
        if let Some(term) = &mut self.term {
            term.has_reached_servers |= !is_partitioned;
            if !is_long || is_alone || !term.has_reached_servers {
                return;
            }
            log::warn!(
                "[control] This VM plans and reaches no server; it gives up \
                 the role."
            );
            self.end_term();
            self.previous_planner = Some((self.me.clone(), now));
            self.removal_due_at = Some(now);
        }
        if let Some(due_at) = self.removal_due_at {
            self.remove_planner_record(now, due_at);
        }
    }

    /// Removes the planner's record, which this VM's lease keeps alive, until
    /// it is gone.
    fn remove_planner_record(&mut self, now: LocalTime, due_at: LocalTime) {
        let own = self.planner().filter(|(planner, _)| *planner == self.me);
        let Some((_, revision)) = own else {
            self.removal_due_at = None;
            return;
        };
        if now < due_at {
            return;
        }
        self.removal_due_at = Some(now + REMOVAL_RETRY_DELAY);
        let key: Arc<str> = PLANNER_KEY.into();
        let condition = KeyCondition { key: Arc::clone(&key), revision };
        let transaction = StoreTransaction {
            conditions: vec![condition],
            removals: vec![key],
            ..StoreTransaction::default()
        };
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            let reply = store.call(&StoreCall::Commit(transaction)).await;
            if let Err(failure) = reply {
                log::info!(
                    "[store] The planner's record was not removed: {failure}."
                );
            }
        });
    }

    /// Records what an order showed about the way to its server.
    pub(crate) fn record_reach(
        &mut self,
        now: LocalTime,
        ended: &OrderEnded,
        event: ReachEvent,
    ) {
        if let Some(term) = &mut self.term
            && event == ReachEvent::Responded
        {
            let service = Arc::clone(&ended.service);
            term.answers.entry(service).or_default().record_answer(now);
        }
        let server = &ended.order.instance.id;
        let views = self.view_sender.subscribe();
        self.reach.record(&ended.service, server, event, &views);
    }
}
