//! Streams of routing tables from other VMs.
//!
//! Every VM follows its steward; a steward also follows one VM of each
//! other failure domain. So a VM has one inbound stream, whatever the size
//! of the fleet, and a domain that is cut off keeps the last it had.

use std::{sync::Arc, time::Duration};

use goldcrestramp_config::{DeploymentState, StateChange};
use goldcrestramp_ownership::{DomainTable, ServiceRecord};
use goldcrestramp_platform::{VmEntry, records::StoreRecord};
use goldcrestramp_types::{DomainName, FastMap, FastSet};
use goldcrestramp_wire::peer::{TableUpdate, TablesRequest};
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::{sync::watch, task::JoinHandle};
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{
        actor::ControlActor,
        links::ControlLinks,
        messages::{
            ConfigNotice, HomesNotice, StewardAsk, StewardPlace, TableNotice,
        },
        tables::{TableHub, TableSet},
    },
    convert,
};

/// A pause before a stream is opened again.
const OPEN_PAUSE: Duration = Duration::from_millis(200);
/// How often the steward looks for domains that it does not follow.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// How often a follower looks whether it still follows the right VM.
///
/// A steward that was paused or cut off sends nothing, and its connection
/// stays open for seconds: its followers would keep old tables for so long.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Follows the steward's stream: all tables and the configuration.
pub(crate) async fn follow_steward(
    context: Arc<NodeContext>,
    hub: Arc<TableHub>,
    actor: Address<ControlActor>,
) {
    let links = ControlLinks::new(Arc::clone(&context));
    loop {
        let Ok(place) = actor.send(StewardAsk).await else {
            return;
        };
        if let StewardPlace::There(_, address) = place {
            let stream = TableStream {
                context: Arc::clone(&context),
                links: links.clone(),
                actor: actor.clone(),
                address,
                domain: None,
                hub: Arc::clone(&hub),
                tables: hub.subscribe(),
            };
            stream.follow().await;
        }
        tokio::time::sleep(OPEN_PAUSE).await;
    }
}

/// While this VM leads, follows one VM of every other failure domain.
pub(crate) async fn follow_domains(
    context: Arc<NodeContext>,
    hub: Arc<TableHub>,
    actor: Address<ControlActor>,
) {
    let links = ControlLinks::new(Arc::clone(&context));
    let mut tasks: FastMap<DomainName, JoinHandle<()>> = FastMap::default();
    loop {
        let Ok(place) = actor.send(StewardAsk).await else {
            return;
        };
        if place == StewardPlace::Here {
            tasks.retain(|_, task| !task.is_finished());
            let vms = context.vms.load_full();
            for domain in other_domains(&context, &vms) {
                if tasks.contains_key(&domain) {
                    continue;
                }
                let stream = open(&links, &hub, &actor, &vms, &domain);
                if let Some(stream) = stream {
                    let task = tokio::spawn(stream.follow());
                    tasks.insert(domain, task);
                }
            }
        } else {
            for (_, task) in tasks.drain() {
                task.abort();
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn other_domains(
    context: &NodeContext,
    vms: &[VmEntry],
) -> FastSet<DomainName> {
    let others = vms.iter().filter(|vm| vm.domain != *context.domain());
    others.map(|vm| vm.domain.clone()).collect()
}

/// A stream from some VM of a domain; the list lags, so any may be gone,
/// and the next try takes another.
fn open(
    links: &ControlLinks,
    hub: &Arc<TableHub>,
    actor: &Address<ControlActor>,
    vms: &[VmEntry],
    domain: &DomainName,
) -> Option<TableStream> {
    let there: Vec<_> = vms.iter().filter(|vm| vm.domain == *domain).collect();
    let vm = there.choose(&mut rand::rng())?;
    Some(TableStream {
        context: Arc::clone(hub.context()),
        links: links.clone(),
        actor: actor.clone(),
        address: Arc::from(vm.address.as_str()),
        domain: Some(domain.clone()),
        hub: Arc::clone(hub),
        tables: hub.subscribe(),
    })
}

/// One stream of updates.
struct TableStream {
    context: Arc<NodeContext>,
    links: ControlLinks,
    actor: Address<ControlActor>,
    address: Arc<str>,
    /// The one domain asked for; none: all of them, from the steward.
    domain: Option<DomainName>,
    hub: Arc<TableHub>,
    /// The newest tables of this VM.
    tables: watch::Receiver<Arc<TableSet>>,
}

impl TableStream {
    /// Hands updates to the actor until the stream ends.
    async fn follow(self) {
        let Some(mut client) = self.links.stream(&self.address).await else {
            return;
        };
        let Ok(response) = client.tables(self.request()).await else {
            self.links.forget(&self.address);
            return;
        };
        let mut updates = response.into_inner();
        loop {
            let next =
                tokio::time::timeout(CHECK_EVERY, updates.message()).await;
            self.context.faults.wait().await;
            if !self.is_right().await {
                return;
            }
            match next {
                Ok(Ok(Some(update))) => {
                    if !self.take(&update).await {
                        return;
                    }
                }
                Ok(_ended) => {
                    self.links.forget(&self.address);
                    return;
                }
                Err(_nothing_new) => {}
            }
            let own = self.context.domain();
            self.hub.note_heard(self.domain.as_ref().unwrap_or(own));
        }
    }

    /// What is asked for, and what need not be sent.
    fn request(&self) -> TablesRequest {
        let domain = self.domain.as_ref().map(ToString::to_string);
        let config = self.tables.borrow().config_mark;
        TablesRequest {
            vm: self.context.vm().to_string(),
            domain: domain.unwrap_or_default(),
            config_version: config.version,
            config_digest: config.digest,
        }
    }

    /// Whether this is still the VM to follow.
    async fn is_right(&self) -> bool {
        if self.links.is_cut(&self.address) {
            return false;
        }
        if self.domain.is_some() {
            return true;
        }
        match self.actor.send(StewardAsk).await {
            Ok(StewardPlace::There(_, now)) => now == self.address,
            Ok(StewardPlace::Unknown) => true,
            Ok(StewardPlace::Here) | Err(_) => false,
        }
    }

    /// Takes an update; `false`: the stream is of no use any more.
    async fn take(&self, update: &TableUpdate) -> bool {
        let bytes = update.encoded_len();
        self.context.metrics.count_control("table", bytes);
        for homes in &update.homes {
            if let Ok(record) = ServiceRecord::decode(&homes.record) {
                let notice = HomesNotice(Arc::new(record));
                drop(self.actor.send(notice).await);
            }
        }
        if !self.take_config(update).await {
            return false;
        }
        match self.table(update) {
            Ok(table) => {
                let notice = TableNotice(Arc::new(table));
                self.actor.send(notice).await.is_ok()
            }
            Err(fault) => fault != TableFault::Unfit,
        }
    }

    /// Takes the configuration of an update, whole or by its changes.
    ///
    /// `false`: a change does not fit what this VM has. The stream is
    /// opened again and begins with the whole; going on would leave this
    /// VM behind until the next steward. What this program does not
    /// understand it leaves: asking again would not help.
    async fn take_config(&self, update: &TableUpdate) -> bool {
        if !update.config.is_empty() {
            self.hand_over(serde_json::from_slice(&update.config)).await;
        }
        for change in &update.config_changes {
            let change = serde_json::from_slice::<StateChange>(change);
            let known = self.tables.borrow().config.clone();
            let known = known.unwrap_or_default();
            let newer = change
                .as_ref()
                .map_or(true, |change| change.next.version > known.version);
            if !newer {
                continue;
            }
            let state = change.map(|change| change.apply(&known));
            match state.transpose() {
                Some(state) => self.hand_over(state).await,
                None => return false,
            }
        }
        true
    }

    /// Gives the actor a configuration that could be read.
    async fn hand_over(&self, state: serde_json::Result<DeploymentState>) {
        match state {
            Ok(state) => {
                let notice = ConfigNotice(Arc::new(state));
                drop(self.actor.send(notice).await);
            }
            Err(error) => {
                log::warn!("store: a configuration is not read: {error}.");
            }
        }
    }

    /// The whole table of an update.
    fn table(&self, update: &TableUpdate) -> Result<DomainTable, TableFault> {
        if update.domain.is_empty() {
            return Err(TableFault::NoTable);
        }
        if update.whole {
            return convert::table_in(update)
                .map_err(|_bad| TableFault::Unfit);
        }
        let change =
            convert::change_in(update).map_err(|_bad| TableFault::Unfit)?;
        let set = self.tables.borrow();
        let known = set.domains.get(&change.domain);
        let known = known.ok_or(TableFault::Unfit)?;
        if known.version >= change.version {
            return Err(TableFault::Known);
        }
        change.apply(known).ok_or(TableFault::Unfit)
    }
}

/// Why an update brought no table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TableFault {
    /// It was about something else.
    NoTable,
    /// This VM has that version or a newer one by another way.
    Known,
    /// It changes a version that this VM has not, or it is malformed: the
    /// stream is opened again, and begins with the whole.
    Unfit,
}
