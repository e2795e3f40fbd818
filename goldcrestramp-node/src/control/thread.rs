//! The thread that runs all control state of a VM.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use goldcrestramp_ownership::ServiceRecord;
use goldcrestramp_platform::{PlatformClient, records::StoreRecord};
use goldcrestramp_types::DomainName;
use goldcrestramp_wire::peer::{
    TableUpdate, TablesRequest, control_server::ControlServer,
};
use prost::Message;
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
};
use tonic::transport::Server;
use xtra::{Address, Mailbox};

use crate::{
    context::NodeContext,
    control::{
        actor::ControlActor,
        links::{ControlLinks, MESSAGE_LIMIT},
        messages::{
            ConfigNotice, HomesNotice, StewardAsk, StewardPlace, TableNotice,
            TickNotice,
        },
        reader,
        service::ControlService,
        tables::TableHub,
    },
    convert,
    peers::serve_router,
    planner::run_planner,
    store::watch_divisions,
};

/// How often the machines are told that time has passed.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// Messages that wait for the actor; a sender waits when it is full.
const MAILBOX_SIZE: usize = 1_024;
/// A pause before a stream of tables is opened again.
const STREAM_PAUSE: Duration = Duration::from_millis(200);

/// A running control thread; dropping it ends the thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    pub(crate) actor: Address<ControlActor>,
    pub(crate) address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

/// What a started thread reports.
type StartReport = std::io::Result<(Address<ControlActor>, SocketAddr)>;

impl ControlThread {
    /// Starts the thread and returns once its listener is bound.
    pub(crate) async fn spawn(
        context: Arc<NodeContext>,
        store: PlatformClient,
    ) -> eyre::Result<Self> {
        let (started, start) = oneshot::channel::<StartReport>();
        let (stop, stopped) = oneshot::channel();
        let name = format!("control-{}", context.vm());
        thread::Builder::new().name(name).spawn(move || {
            run_thread(context, store, started, stopped);
        })?;
        let (actor, address) = start.await??;
        Ok(Self { actor, address, _stop: stop })
    }
}

fn run_thread(
    context: Arc<NodeContext>,
    store: PlatformClient,
    started: oneshot::Sender<StartReport>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            drop(started.send(Err(error)));
            return;
        }
    };
    runtime.block_on(async {
        match start(context, store).await {
            Ok(report) => {
                drop(started.send(Ok(report)));
                // Ends with the handle: its sender is dropped then.
                drop(stopped.await);
            }
            Err(error) => drop(started.send(Err(error))),
        }
    });
    // Dropping the runtime ends every task at once.
    runtime.shutdown_background();
}

async fn start(
    context: Arc<NodeContext>,
    store: PlatformClient,
) -> StartReport {
    let listener = TcpListener::bind(context.settings.control_listen).await?;
    let address = listener.local_addr()?;
    let hub = Arc::new(TableHub::new(Arc::clone(&context)));
    let leading = watch::Sender::new(false);
    let actor = ControlActor::new(
        Arc::clone(&context),
        store.clone(),
        Arc::clone(&hub),
        leading.clone(),
    );
    let actor = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_SIZE));
    serve(&context, &hub, listener, &actor);
    tokio::spawn(tick(actor.clone()));
    tokio::spawn(reader::read_at_start(
        store.clone(),
        context.domain().clone(),
        actor.clone(),
    ));
    tokio::spawn(reader::watch_config(
        store.clone(),
        Arc::clone(&hub),
        leading.subscribe(),
        actor.clone(),
    ));
    tokio::spawn(watch_divisions(
        store.clone(),
        hub.subscribe(),
        leading.subscribe(),
        actor.clone(),
    ));
    tokio::spawn(run_planner(
        Arc::clone(&context),
        store.clone(),
        hub.subscribe(),
        leading.subscribe(),
    ));
    tokio::spawn(reader::watch_vms(
        store.clone(),
        leading.subscribe(),
        actor.clone(),
    ));
    tokio::spawn(follow_tables(Arc::clone(&context), actor.clone()));
    tokio::spawn(follow_domains(context, store, actor.clone()));
    Ok((actor, address))
}

fn serve(
    context: &Arc<NodeContext>,
    hub: &TableHub,
    listener: TcpListener,
    actor: &Address<ControlActor>,
) {
    let service = ControlService {
        context: Arc::clone(context),
        actor: actor.clone(),
        tables: hub.subscribe(),
    };
    let service =
        ControlServer::new(service).max_decoding_message_size(MESSAGE_LIMIT);
    let server = Server::builder().add_service(service);
    let server = serve_router(context.tls.clone(), listener, server);
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("control: the listener ended: {error}.");
        }
    });
}

async fn tick(actor: Address<ControlActor>) {
    let mut interval = tokio::time::interval(TICK_EVERY);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(TickNotice).await.is_err() {
            return;
        }
    }
}

/// Follows the steward's stream: all tables and the configuration.
async fn follow_tables(
    context: Arc<NodeContext>,
    actor: Address<ControlActor>,
) {
    let links = ControlLinks::new(Arc::clone(&context));
    loop {
        let Ok(place) = actor.send(StewardAsk).await else {
            return;
        };
        if let StewardPlace::There(_, address) = place {
            follow(&context, &links, &address, String::new(), &actor).await;
        }
        tokio::time::sleep(STREAM_PAUSE).await;
    }
}

/// While this VM leads, follows one VM of every other failure domain.
async fn follow_domains(
    context: Arc<NodeContext>,
    store: PlatformClient,
    actor: Address<ControlActor>,
) {
    let mut following: goldcrestramp_types::FastMap<
        DomainName,
        tokio::task::JoinHandle<()>,
    > = goldcrestramp_types::FastMap::default();
    loop {
        let Ok(place) = actor.send(StewardAsk).await else {
            return;
        };
        if place != StewardPlace::Here {
            for (_, task) in following.drain() {
                task.abort();
            }
            tokio::time::sleep(STREAM_PAUSE).await;
            continue;
        }
        following.retain(|_, task| !task.is_finished());
        let vms = store.vms().await.unwrap_or_default();
        for vm in vms {
            let known = following.contains_key(&vm.domain);
            if vm.domain == *context.domain() || known {
                continue;
            }
            let task = follow_domain(&context, &actor, &vm);
            following.insert(vm.domain.clone(), tokio::spawn(task));
        }
        tokio::time::sleep(STREAM_PAUSE * 5).await;
    }
}

fn follow_domain(
    context: &Arc<NodeContext>,
    actor: &Address<ControlActor>,
    vm: &goldcrestramp_platform::VmEntry,
) -> impl Future<Output = ()> + Send + 'static {
    let context = Arc::clone(context);
    let actor = actor.clone();
    let address: Arc<str> = Arc::from(vm.address.as_str());
    let domain = vm.domain.to_string();
    async move {
        let links = ControlLinks::new(Arc::clone(&context));
        follow(&context, &links, &address, domain, &actor).await;
    }
}

/// Hands a peer's updates to the actor until the stream ends.
async fn follow(
    context: &Arc<NodeContext>,
    links: &ControlLinks,
    address: &Arc<str>,
    domain: String,
    actor: &Address<ControlActor>,
) {
    let Some(mut client) = links.stream(address).await else {
        return;
    };
    let vm = context.vm().to_string();
    let request = TablesRequest { vm, domain: domain.clone() };
    let Ok(response) = client.tables(request).await else {
        return;
    };
    let mut updates = response.into_inner();
    while let Ok(Some(update)) = updates.message().await {
        context.faults.wait().await;
        if context.faults.is_cut(address) {
            return;
        }
        if domain.is_empty() && followed_another(actor, address).await {
            return;
        }
        let bytes = update.encoded_len();
        context.metrics.count_control("table", bytes);
        take_update(&update, actor).await;
    }
}

/// Whether the steward is no longer the peer that is being followed.
async fn followed_another(
    actor: &Address<ControlActor>,
    address: &Arc<str>,
) -> bool {
    match actor.send(StewardAsk).await {
        Ok(StewardPlace::There(_, now)) => now != *address,
        Ok(StewardPlace::Here) | Err(_) => true,
        Ok(StewardPlace::Unknown) => false,
    }
}

async fn take_update(update: &TableUpdate, actor: &Address<ControlActor>) {
    for homes in &update.homes {
        if let Ok(record) = ServiceRecord::decode(&homes.record) {
            drop(actor.send(HomesNotice(Arc::new(record))).await);
        }
    }
    if let Ok(state) = serde_json::from_slice(&update.config) {
        drop(actor.send(ConfigNotice(Arc::new(state))).await);
    }
    if let Ok(table) = convert::table_in(update) {
        drop(actor.send(TableNotice(Arc::new(table))).await);
    }
}
