//! The thread that runs all control state of a VM.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use goldcrestramp_platform::PlatformClient;
use goldcrestramp_wire::peer::control_server::ControlServer;
use tokio::{
    net::TcpListener,
    sync::{broadcast, oneshot, watch},
};
use tonic::transport::Server;
use xtra::{Address, Mailbox};

use crate::{
    context::NodeContext,
    control::{
        actor::{ControlActor, NewsSender},
        follow::{follow_domains, follow_steward},
        links::MESSAGE_LIMIT,
        messages::TickNotice,
        reader,
        service::ControlService,
        tables::TableHub,
    },
    peers::serve_router,
    planner::run_planner,
    store::watch_divisions,
};

/// How often the machines are told that time has passed.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// Decisions whose word a slow stream may miss without being told so.
const NEWS_QUEUE: usize = 64;
/// Messages that wait for the actor; a sender waits when it is full.
const MAILBOX_SIZE: usize = 1_024;

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
    let news = broadcast::Sender::new(NEWS_QUEUE);
    let actor = ControlActor::new(
        Arc::clone(&context),
        store.clone(),
        Arc::clone(&hub),
        leading.clone(),
        news.clone(),
    );
    let actor = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_SIZE));
    serve(&context, &hub, listener, &actor, news);
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
    news: NewsSender,
) {
    let service = ControlService {
        news,
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
