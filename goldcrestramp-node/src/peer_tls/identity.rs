//! The identity of a peer, as read from its certificate.

use std::sync::Arc;

use goldcrestramp_types::{DomainName, VmName};
use tokio_rustls::rustls::pki_types::CertificateDer;

/// The last label of every DNS name in peers' certificates.
const SUFFIX: &str = "goldcrestramp";

/// The VM that a peer's certificate names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// The name of the deployment.
    pub deployment: Arc<str>,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The name of the VM.
    pub vm: VmName,
}

impl PeerIdentity {
    /// The DNS name of the VM: `VM.DOMAIN.DEPLOYMENT.goldcrestramp`.
    #[must_use]
    pub fn name(&self) -> String {
        let Self { deployment, domain, vm } = self;
        format!("{vm}.{domain}.{deployment}.{SUFFIX}")
    }

    /// The DNS name that all peers of a deployment have in common, besides
    /// their own: `DEPLOYMENT.goldcrestramp`.
    #[must_use]
    pub fn common_name(deployment: &str) -> String {
        format!("{deployment}.{SUFFIX}")
    }

    /// Reads the identity from the certificate of a peer of `deployment`.
    ///
    /// Returns `None` if it names no VM of this deployment, or several.
    #[must_use]
    pub fn read(
        certificate: &CertificateDer<'_>,
        deployment: &Arc<str>,
    ) -> Option<Self> {
        let parsed = webpki::EndEntityCert::try_from(certificate).ok()?;
        let suffix = format!(".{}", Self::common_name(deployment));
        let mut vms = parsed
            .valid_dns_names()
            .filter_map(|name| name.strip_suffix(suffix.as_str()));
        let (vm, domain) = vms.next()?.split_once('.')?;
        // With two names, a peer could choose its identity per request.
        if vms.next().is_some() || domain.contains('.') {
            return None;
        }
        Some(Self {
            deployment: Arc::clone(deployment),
            domain: DomainName::new(domain).ok()?,
            vm: VmName::new(vm).ok()?,
        })
    }
}
