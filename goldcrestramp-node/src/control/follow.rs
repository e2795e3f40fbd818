//! Subscribes to the streams of routing tables of other VMs.
//!
//! Every VM follows its steward. A steward also follows one VM of each other
//! failure domain. A VM that is no steward therefore has one inbound stream,
//! whatever the size of the fleet, and a domain that is cut off keeps the
//! last tables that it received.

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
            ConfigNotice, HomesNotice, StewardAsk, StewardLocation,
            TableNotice,
        },
        tables::{TableHub, TableSet},
    },
    convert,
};

/// The delay before a stream is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(200);
/// How often the steward checks for domains that it does not follow.
const DOMAIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How often a follower checks that it still follows the current steward.
///
/// A steward that is paused or cut off sends nothing, but its connection
/// stays open for seconds. Without the check its followers would keep old
/// tables for that time.
const STEWARD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the steward's stream of all tables and the configuration.
pub(crate) async fn follow_steward(
    context: Arc<NodeContext>,
    hub: Arc<TableHub>,
    actor: Address<ControlActor>,
) {
    let links = ControlLinks::new(Arc::clone(&context));
    loop {
        let Ok(location) = actor.send(StewardAsk).await else {
            return;
        };
        if let StewardLocation::Remote(_, address) = location {
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
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Follows one VM of every other failure domain while this VM is the
/// steward.
pub(crate) async fn follow_domains(
    context: Arc<NodeContext>,
    hub: Arc<TableHub>,
    actor: Address<ControlActor>,
) {
    let links = ControlLinks::new(Arc::clone(&context));
    let mut tasks: FastMap<DomainName, JoinHandle<()>> = FastMap::default();
    loop {
        let Ok(location) = actor.send(StewardAsk).await else {
            return;
        };
        if location == StewardLocation::Local {
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
        tokio::time::sleep(DOMAIN_CHECK_INTERVAL).await;
    }
}

fn other_domains(
    context: &NodeContext,
    vms: &[VmEntry],
) -> FastSet<DomainName> {
    let others = vms.iter().filter(|vm| vm.domain != *context.domain());
    others.map(|vm| vm.domain.clone()).collect()
}

/// Returns a stream from a random VM of a domain.
///
/// The VM list lags, so that the VM may no longer exist; the next attempt
/// chooses again.
fn open(
    links: &ControlLinks,
    hub: &Arc<TableHub>,
    actor: &Address<ControlActor>,
    vms: &[VmEntry],
    domain: &DomainName,
) -> Option<TableStream> {
    let candidates: Vec<_> =
        vms.iter().filter(|vm| vm.domain == *domain).collect();
    let vm = candidates.choose(&mut rand::rng())?;
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

/// A stream of updates from one VM.
struct TableStream {
    context: Arc<NodeContext>,
    links: ControlLinks,
    actor: Address<ControlActor>,
    address: Arc<str>,
    /// The requested domain; `None` requests all domains, from the steward.
    domain: Option<DomainName>,
    hub: Arc<TableHub>,
    /// The newest tables that this VM knows.
    tables: watch::Receiver<Arc<TableSet>>,
}

impl TableStream {
    /// Sends updates to the actor until the stream ends.
    async fn follow(self) {
        let Some(mut client) = self.links.stream(&self.address).await else {
            return;
        };
        let Ok(response) = client.tables(self.request()).await else {
            self.links.disconnect(&self.address);
            return;
        };
        let mut updates = response.into_inner();
        loop {
            let next = tokio::time::timeout(
                STEWARD_CHECK_INTERVAL,
                updates.message(),
            )
            .await;
            self.context.faults.wait().await;
            if !self.is_current().await {
                return;
            }
            match next {
                Ok(Ok(Some(update))) => {
                    if !self.apply(&update).await {
                        return;
                    }
                }
                Ok(_ended) => {
                    self.links.disconnect(&self.address);
                    return;
                }
                Err(_no_update) => {}
            }
            let own = self.context.domain();
            self.hub.record_heard(self.domain.as_ref().unwrap_or(own));
        }
    }

    /// The request, with the revision of the configuration that need not be
    /// sent.
    fn request(&self) -> TablesRequest {
        let domain = self.domain.as_ref().map(ToString::to_string);
        let config = self.tables.borrow().config_revision;
        TablesRequest {
            vm: self.context.vm().to_string(),
            domain: domain.unwrap_or_default(),
            config_version: config.version,
            config_digest: config.digest,
        }
    }

    /// Whether this VM should still follow that VM.
    async fn is_current(&self) -> bool {
        if self.links.is_cut(&self.address) {
            return false;
        }
        if self.domain.is_some() {
            return true;
        }
        match self.actor.send(StewardAsk).await {
            Ok(StewardLocation::Remote(_, now)) => now == self.address,
            Ok(StewardLocation::Unknown) => true,
            Ok(StewardLocation::Local) | Err(_) => false,
        }
    }

    /// Applies an update. Returns `false` if the stream cannot be used any
    /// longer.
    async fn apply(&self, update: &TableUpdate) -> bool {
        let bytes = update.encoded_len();
        self.context.metrics.count_control("table", bytes);
        for homes in &update.homes {
            if let Ok(record) = ServiceRecord::decode(&homes.record) {
                let notice = HomesNotice(Arc::new(record));
                drop(self.actor.send(notice).await);
            }
        }
        if !self.apply_config(update).await {
            return false;
        }
        match self.table(update) {
            Ok(table) => {
                let notice = TableNotice(Arc::new(table));
                self.actor.send(notice).await.is_ok()
            }
            Err(fault) => fault != TableFault::Mismatch,
        }
    }

    /// Applies the configuration of an update, in full or as changes.
    ///
    /// Returns `false` if a change does not apply to the configuration of
    /// this VM. The stream is then opened again and starts with the full
    /// configuration; continuing would leave this VM outdated until there
    /// is another steward. A configuration that cannot be decoded is
    /// skipped, since requesting it again would not help.
    async fn apply_config(&self, update: &TableUpdate) -> bool {
        if !update.config.is_empty() {
            self.send_config(serde_json::from_slice(&update.config)).await;
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
                Some(state) => self.send_config(state).await,
                None => return false,
            }
        }
        true
    }

    /// Sends a configuration to the actor if it could be decoded.
    async fn send_config(&self, state: serde_json::Result<DeploymentState>) {
        match state {
            Ok(state) => {
                let notice = ConfigNotice(Arc::new(state));
                drop(self.actor.send(notice).await);
            }
            Err(error) => {
                log::warn!("store: cannot decode a configuration: {error}.");
            }
        }
    }

    /// The full table that results from an update.
    fn table(&self, update: &TableUpdate) -> Result<DomainTable, TableFault> {
        if update.domain.is_empty() {
            return Err(TableFault::NoTable);
        }
        if update.whole {
            return convert::table_in(update)
                .map_err(|_bad| TableFault::Mismatch);
        }
        let change =
            convert::change_in(update).map_err(|_bad| TableFault::Mismatch)?;
        let set = self.tables.borrow();
        let known = set.domains.get(&change.domain);
        let known = known.ok_or(TableFault::Mismatch)?;
        if known.version >= change.version {
            return Err(TableFault::NotNewer);
        }
        change.apply(known).ok_or(TableFault::Mismatch)
    }
}

/// Why an update results in no new table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TableFault {
    /// It carries no table.
    NoTable,
    /// This VM has received that version or a newer one already.
    NotNewer,
    /// It is malformed, or changes a version that this VM does not have.
    /// The stream is opened again and starts with the full table.
    Mismatch,
}
