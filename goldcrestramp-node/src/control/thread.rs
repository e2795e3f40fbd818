//! Runs a VM's control actor, its listener and its tasks on one thread.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use goldcrestramp_platform::PlatformClient;
use goldcrestramp_wire::peer::control_server::ControlServer;
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
};

use xtra::{Address, Mailbox};

use crate::{
    context::NodeContext,
    control::{
        actor::ControlActor,
        follow::{follow_domains, follow_steward},
        links::MAX_MESSAGE_BYTES,
        messages::TickNotice,
        reader,
        service::ControlService,
        tables::TableHub,
    },
    peers::{bounded_server, serve_router},
    planner::run_planner,
    store::watch_divisions,
};

/// How often the actor receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The capacity of the actor's mailbox. Senders wait while it is full.
const MAILBOX_SIZE: usize = 1_024;

/// A running control thread. Dropping it stops the thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    pub(crate) actor: Address<ControlActor>,
    pub(crate) address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

/// The actor and the listener's address of a started thread, or why it did
/// not start.
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
                // Completes when the handle, which owns the sender, drops.
                drop(stopped.await);
            }
            Err(error) => drop(started.send(Err(error))),
        }
    });
    // Aborts every task without waiting for it.
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
    tokio::spawn(reader::poll_roster(
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
    tokio::spawn(reader::watch_vms(store, leading.subscribe(), actor.clone()));
    tokio::spawn(follow_steward(
        Arc::clone(&context),
        Arc::clone(&hub),
        actor.clone(),
    ));
    tokio::spawn(follow_domains(context, hub, actor.clone()));
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
    let service = ControlServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let server = bounded_server().add_service(service);
    let server = serve_router(context.tls.clone(), listener, server);
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("control: the listener failed: {error}.");
        }
    });
}

async fn tick(actor: Address<ControlActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(TickNotice).await.is_err() {
            return;
        }
    }
}
