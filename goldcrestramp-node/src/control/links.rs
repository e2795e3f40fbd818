//! Sends control messages to peers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_ownership::{ConfirmAnswer, ConfirmAsk};
use goldcrestramp_wire::peer::{ViewRequest, control_client::ControlClient};
use prost::Message;
use tonic::Request;

use crate::{context::NodeContext, convert, peers::PeerChannels};

/// How long to wait for a peer's reply before it is asked again.
///
/// It is shorter than the lease's renewal interval plus one round trip
/// between regions, so that a lost message costs only one renewal.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends control messages to peers. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct ControlLinks {
    context: Arc<NodeContext>,
    channels: Arc<PeerChannels>,
}

impl ControlLinks {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let channels = Arc::new(PeerChannels::new(Arc::clone(&context)));
        Self { context, channels }
    }

    /// Asks the voter at `address` to confirm. Returns `None` if it did not
    /// reply.
    pub(crate) async fn confirm(
        &self,
        address: &Arc<str>,
        ask: &ConfirmAsk,
    ) -> Option<ConfirmAnswer> {
        let channel = self.channels.open(address).await.ok()?;
        let mut client = ControlClient::new(channel);
        let message = convert::ask_out(ask);
        self.count("confirm", &message);
        let mut request = Request::new(message);
        request.set_timeout(REPLY_TIMEOUT);
        let call = client.confirm(request);
        let reply = self.await_reply(address, call).await?;
        self.count("confirm-answer", &reply);
        Some(convert::confirm_in(&reply))
    }

    /// Reads the view of the steward at `address`, as JSON. Returns `None`
    /// if the peer did not reply or is not the steward.
    pub(crate) async fn view(&self, address: &Arc<str>) -> Option<Bytes> {
        let mut client = self.stream(address).await?;
        let message = ViewRequest {
            vm: self.context.vm().to_string(),
            domain: self.context.domain().to_string(),
        };
        let call = client.view(message);
        let view = self.await_reply(address, call).await?.view;
        (!view.is_empty()).then_some(view)
    }

    /// A client whose message limit allows a stream of tables.
    pub(crate) async fn stream(
        &self,
        address: &Arc<str>,
    ) -> Option<ControlClient<tonic::transport::Channel>> {
        let channel = self.channels.open(address).await.ok()?;
        let client = ControlClient::new(channel);
        Some(client.max_decoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Closes the connection to a peer that failed.
    pub(crate) fn disconnect(&self, address: &Arc<str>) {
        self.channels.forget(address);
    }

    /// Whether a test has cut the connection from this VM to a peer.
    pub(crate) fn is_cut(&self, address: &str) -> bool {
        self.context.faults.is_cut(address)
    }

    pub(crate) fn count(&self, kind: &'static str, message: &impl Message) {
        let bytes = message.encoded_len();
        self.context.metrics.count_control(kind, bytes);
    }

    async fn await_reply<T>(
        &self,
        address: &Arc<str>,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Option<T> {
        match tokio::time::timeout(REPLY_TIMEOUT, call).await {
            Ok(Ok(response)) => Some(response.into_inner()),
            Ok(Err(_status)) => {
                self.channels.forget(address);
                None
            }
            Err(_elapsed) => None,
        }
    }
}

/// The largest control message. A table of 65,536 slices, each a separate
/// run, takes less than 1 MiB for each service.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1_048_576;
