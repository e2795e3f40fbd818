//! Keys and certificates of peers, made for one test.

use std::{fs, path::PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair,
};

/// An authority's certificate and key.
pub type TestAuthority = CertifiedIssuer<'static, KeyPair>;

/// A new authority.
pub fn authority() -> TestAuthority {
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("an authority")
}

/// A VM's directory with its three files, removed at the end.
pub struct VmFiles(pub PathBuf);

impl VmFiles {
    /// An empty directory of this process and name.
    pub fn new(name: &str) -> Self {
        let name = format!("goldcrestramp-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a directory");
        Self(directory)
    }

    /// Writes a certificate with these names, signed by `authority`.
    pub fn issue(&self, authority: &TestAuthority, names: &[&str]) {
        let names: Vec<_> = names.iter().map(|n| (*n).to_owned()).collect();
        let params = CertificateParams::new(names).expect("parameters");
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, authority).expect("signed");
        let write = |name: &str, text: String| {
            fs::write(self.0.join(name), text).expect("a file");
        };
        write("authority.pem", authority.pem());
        write("vm.pem", certificate.pem());
        write("vm.key", key.serialize_pem());
    }
}

impl Drop for VmFiles {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}
