//! TLS between peers: both sides prove who they are.
//!
//! Every VM has a certificate signed by the deployment's authority. It
//! holds two DNS names: `VM.DOMAIN.DEPLOYMENT.goldcrestramp`, which says
//! who the VM is, and `DEPLOYMENT.goldcrestramp`, which every peer of the
//! deployment expects of whom it calls. A peer of another deployment is
//! refused in the handshake, also when the same authority signed it; one
//! that claims another VM or failure domain in a message is refused there.

mod accept;
mod identity;
mod keys;

use std::{
    fmt,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
};

use goldcrestramp_config::{NodeSettings, PeerTlsSettings};
use tokio_rustls::rustls;
use tonic::{Request, Status, transport::Endpoint};

use self::keys::KeyMaterial;
pub use self::{accept::PeerIncoming, identity::PeerIdentity};

/// Why peers can't be met by TLS.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerTlsError {
    /// A file can't be read, or holds nothing of use.
    Unreadable(PathBuf, String),
    /// Certificate, key and authority do not go together.
    Mismatch(String),
    /// The certificate names another VM than the settings.
    OtherName {
        /// The name that the settings call for.
        expected: String,
    },
}

impl fmt::Display for PeerTlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file, why) => {
                write!(f, "{}: {why}", file.display())
            }
            Self::Mismatch(why) => write!(f, "keys do not match: {why}"),
            Self::OtherName { expected } => {
                write!(f, "the certificate does not name {expected}")
            }
        }
    }
}

impl std::error::Error for PeerTlsError {}

/// This VM's keys, read again whenever their files change.
#[derive(Debug)]
pub struct PeerTls {
    files: PeerTlsSettings,
    identity: PeerIdentity,
    current: Mutex<KeyMaterial>,
}

impl PeerTls {
    /// Reads the keys that the settings name; `None`: they name none.
    ///
    /// # Errors
    ///
    /// A [`PeerTlsError`] when the files are unfit, or name another VM:
    /// every peer would refuse this one.
    pub fn open(
        settings: &NodeSettings,
    ) -> Result<Option<Arc<Self>>, PeerTlsError> {
        let Some(files) = settings.peer_tls.clone() else {
            return Ok(None);
        };
        let identity = PeerIdentity {
            deployment: Arc::from(settings.deployment.as_str()),
            domain: settings.domain.clone(),
            vm: settings.vm.clone(),
        };
        let current = KeyMaterial::read(&files, &identity)?;
        let current = Mutex::new(current);
        Ok(Some(Arc::new(Self { files, identity, current })))
    }

    /// Who this VM is.
    #[must_use]
    pub const fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Makes a connection to a peer use TLS with the newest keys.
    ///
    /// The endpoint's address must begin with `https://`.
    ///
    /// # Errors
    ///
    /// [`PeerTlsError::Mismatch`] when the library refuses the keys.
    pub fn secure(
        &self,
        endpoint: Endpoint,
    ) -> Result<Endpoint, PeerTlsError> {
        let config = self.newest().client;
        let secured = endpoint.tls_config(config);
        secured.map_err(|error| PeerTlsError::Mismatch(error.to_string()))
    }

    /// The newest keys for accepting connections.
    pub(crate) fn server(&self) -> Arc<rustls::ServerConfig> {
        self.newest().server
    }

    /// The keys, read again when a file has changed.
    ///
    /// Files are replaced one after another, so for a moment they may not
    /// go together: the former keys stay in use until the new ones do.
    fn newest(&self) -> KeyMaterial {
        let current = self.current.lock();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        if !current.is_newest(&self.files) {
            match KeyMaterial::read(&self.files, &self.identity) {
                Ok(read) => {
                    log::info!("peers: new keys are in use.");
                    *current = read;
                }
                Err(error) => {
                    log::warn!("peers: the former keys stay: {error}.");
                }
            }
        }
        current.clone()
    }
}

/// Who sent a request, as far as it is proven.
///
/// On loopback without TLS nobody proves anything, and every claim passes.
#[derive(Clone, Debug)]
pub struct ProvenPeer(Option<PeerIdentity>);

impl ProvenPeer {
    /// Reads who sent `request`; `tls` is `None` without TLS.
    ///
    /// # Errors
    ///
    /// `UNAUTHENTICATED` when there is no certificate of a peer.
    pub fn of<T>(
        tls: Option<&PeerTls>,
        request: &Request<T>,
    ) -> Result<Self, Status> {
        let Some(tls) = tls else { return Ok(Self(None)) };
        let certificates = request.peer_certs();
        let first = certificates.as_ref().and_then(|list| list.first());
        let deployment = &tls.identity.deployment;
        let peer = first.and_then(|one| PeerIdentity::read(one, deployment));
        match peer {
            Some(peer) => Ok(Self(Some(peer))),
            None => Err(Status::unauthenticated("no certificate of a peer")),
        }
    }

    /// Refuses a message whose sender claims to be somebody else.
    ///
    /// A VM of another failure domain that claimed this one could confirm
    /// its terms, and the domain would have two stewards.
    ///
    /// # Errors
    ///
    /// `PERMISSION_DENIED` when the certificate says another VM or failure
    /// domain.
    pub fn check(&self, domain: &str, vm: &str) -> Result<(), Status> {
        let Some(peer) = &self.0 else { return Ok(()) };
        if peer.domain.as_str() == domain && peer.vm.as_str() == vm {
            return Ok(());
        }
        log::warn!("peers: {} claims to be {vm} in {domain}.", peer.name());
        Err(Status::permission_denied("certificate of another VM"))
    }
}
