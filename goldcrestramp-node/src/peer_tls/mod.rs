//! Mutual TLS between peers.
//!
//! Every VM has a certificate signed by the deployment's authority. It
//! contains two DNS names: `VM.DOMAIN.DEPLOYMENT.goldcrestramp`, which
//! identifies the VM, and `DEPLOYMENT.goldcrestramp`, which every client of
//! the deployment expects of the server it connects to. A peer of another
//! deployment is refused in the handshake, even if the same authority signed
//! its certificate. A message in which a peer claims to be another VM or in
//! another failure domain is refused.

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

/// Why TLS between peers can't be set up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerTlsError {
    /// A file can't be read, or holds no valid keys or certificates.
    Unreadable(PathBuf, String),
    /// Certificate, key and authority do not match.
    Mismatch(String),
    /// The certificate does not name the VM of the settings.
    OtherName {
        /// The DNS name that the settings require.
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

/// The keys of this VM, read again whenever their files change.
#[derive(Debug)]
pub struct PeerTls {
    files: PeerTlsSettings,
    identity: PeerIdentity,
    current: Mutex<KeyMaterial>,
}

impl PeerTls {
    /// Reads the keys that the settings name; `None` if they name none.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerTlsError`] if the files can't be used, or if the
    /// certificate names another VM: every peer would refuse it.
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

    /// The identity of this VM.
    #[must_use]
    pub const fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Sets up TLS with the newest keys for connections to a peer.
    ///
    /// The endpoint's address must begin with `https://`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerTlsError::Mismatch`] if the TLS library refuses the
    /// keys.
    pub fn secure(
        &self,
        endpoint: Endpoint,
    ) -> Result<Endpoint, PeerTlsError> {
        let config = self.newest().client;
        let secured = endpoint.tls_config(config);
        secured.map_err(|error| PeerTlsError::Mismatch(error.to_string()))
    }

    /// The configuration with the newest keys for accepting connections.
    pub(crate) fn server(&self) -> Arc<rustls::ServerConfig> {
        self.newest().server
    }

    /// Returns the keys, read again if a file has changed.
    ///
    /// Files are replaced one after another, so they may briefly not match.
    /// The previous keys stay in use until the new ones match.
    fn newest(&self) -> KeyMaterial {
        let current = self.current.lock();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        if !current.is_current(&self.files) {
            match KeyMaterial::read(&self.files, &self.identity) {
                Ok(read) => {
                    log::info!("peers: new keys are in use.");
                    *current = read;
                }
                Err(error) => {
                    log::warn!(
                        "peers: the previous keys stay in use: {error}."
                    );
                }
            }
        }
        current.clone()
    }
}

/// The authenticated sender of a request.
///
/// On loopback without TLS no sender is authenticated, and every claim is
/// accepted.
#[derive(Clone, Debug)]
pub struct ProvenPeer(Option<PeerIdentity>);

impl ProvenPeer {
    /// Reads the sender of `request` from its certificate; `tls` is `None`
    /// without TLS.
    ///
    /// # Errors
    ///
    /// Returns `UNAUTHENTICATED` if there is no certificate of a peer.
    pub fn of<T>(
        tls: Option<&PeerTls>,
        request: &Request<T>,
    ) -> Result<Self, Status> {
        let Some(tls) = tls else { return Ok(Self(None)) };
        let certificates = request.peer_certs();
        let first = certificates.as_ref().and_then(|list| list.first());
        let deployment = &tls.identity.deployment;
        let peer = first.and_then(|leaf| PeerIdentity::read(leaf, deployment));
        match peer {
            Some(peer) => Ok(Self(Some(peer))),
            None => Err(Status::unauthenticated("no certificate of a peer")),
        }
    }

    /// Refuses a message whose sender claims to be another VM.
    ///
    /// A VM of another failure domain that claimed to be in this one could
    /// confirm its terms, and the domain would have two stewards.
    ///
    /// # Errors
    ///
    /// Returns `PERMISSION_DENIED` if the certificate names another VM or
    /// failure domain.
    pub fn check(&self, domain: &str, vm: &str) -> Result<(), Status> {
        let Some(peer) = &self.0 else { return Ok(()) };
        if peer.domain.as_str() == domain && peer.vm.as_str() == vm {
            return Ok(());
        }
        log::warn!("peers: {} claims to be {vm} in {domain}.", peer.name());
        Err(Status::permission_denied("certificate of another VM"))
    }
}
