//! Control messages to peers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_ownership::{ConfirmAnswer, ConfirmAsk};
use goldcrestramp_wire::peer::{ViewRequest, control_client::ControlClient};
use prost::Message;
use tonic::Request;

use crate::{context::NodeContext, convert, peers::PeerChannels};

/// A peer that has not answered for so long is asked again.
///
/// Below the lease's renewal interval plus one round trip between regions,
/// so that a lost message costs one renewal and no more.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends control messages to peers; cheap to clone.
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

    /// Asks the voter at `address`; `None`: it did not answer.
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
        request.set_timeout(ANSWER_TIMEOUT);
        let call = client.confirm(request);
        let reply = self.answered(address, call).await?;
        self.count("confirm-answer", &reply);
        Some(convert::confirm_in(&reply))
    }

    /// Asks the steward at `address` what it knows, as JSON; `None`: it did
    /// not answer, or is no steward.
    pub(crate) async fn view(&self, address: &Arc<str>) -> Option<Bytes> {
        let mut client = self.stream(address).await?;
        let message = ViewRequest {
            vm: self.context.vm().to_string(),
            domain: self.context.domain().to_string(),
        };
        let call = client.view(message);
        let view = self.answered(address, call).await?.view;
        (!view.is_empty()).then_some(view)
    }

    /// A channel for a stream.
    pub(crate) async fn stream(
        &self,
        address: &Arc<str>,
    ) -> Option<ControlClient<tonic::transport::Channel>> {
        let channel = self.channels.open(address).await.ok()?;
        let client = ControlClient::new(channel);
        Some(client.max_decoding_message_size(MESSAGE_LIMIT))
    }

    /// Drops the connection to a peer that failed.
    pub(crate) fn forget(&self, address: &Arc<str>) {
        self.channels.forget(address);
    }

    /// Whether a test has cut this VM off from a peer.
    pub(crate) fn is_cut(&self, address: &str) -> bool {
        self.context.faults.is_cut(address)
    }

    pub(crate) fn count(&self, kind: &'static str, message: &impl Message) {
        let bytes = message.encoded_len();
        self.context.metrics.count_control(kind, bytes);
    }

    async fn answered<T>(
        &self,
        address: &Arc<str>,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Option<T> {
        match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
            Ok(Ok(response)) => Some(response.into_inner()),
            Ok(Err(_status)) => {
                self.channels.forget(address);
                None
            }
            Err(_elapsed) => None,
        }
    }
}

/// The largest control message: a table of 65,536 slices, each a run of its
/// own, is below 1 MiB a service.
pub(crate) const MESSAGE_LIMIT: usize = 16 * 1_048_576;
