//! Handshake messages of the dialing and the accepting side.

use base::DomainId;
use base::VmId;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::LinkConfig;
use crate::config::Secret;
use crate::error::LinkError;
use crate::identity::LinkId;
use crate::packet::from_cbor;
use crate::packet::to_cbor;

/// Protocol version; both ends of a link must use the same one.
pub const PROTOCOL_VERSION: u32 = 1;

/// Initial buffer capacity for an encoded handshake message.
const HANDSHAKE_CAPACITY_BYTES: usize = 256;

/// Handshake message of the dialing side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Protocol version of the dialer.
    pub version: u32,
    /// Name of the site.
    pub site: String,
    /// Secret of the site, if it has one.
    pub secret: Option<Secret>,
    /// The dialing VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Number that the dialer assigned to this link.
    pub number: u64,
    /// Number of the last link to the accepting VM that ended on the dialer's side.
    pub lost: Option<u64>,
}

impl Hello {
    /// Id of the link that this message opens.
    pub fn link(&self) -> LinkId {
        LinkId {
            dialer: self.vm.clone(),
            number: self.number,
        }
    }

    /// Encodes the message as CBOR.
    pub fn encode(self) -> Result<Bytes, LinkError> {
        to_cbor(&WireHello::from(self), HANDSHAKE_CAPACITY_BYTES)
    }

    /// Decodes the message from CBOR.
    pub fn decode(data: &[u8]) -> Result<Hello, LinkError> {
        from_cbor::<WireHello>(data).and_then(Hello::try_from)
    }

    /// Checks that version, site and secret match those of this daemon, and that the peer is
    /// another VM.
    pub fn check(&self, config: &LinkConfig) -> Result<(), LinkError> {
        if self.version != PROTOCOL_VERSION {
            return Err(LinkError::Version(self.version));
        }
        if self.site != config.site {
            return Err(LinkError::Foreign("site"));
        }
        if self.secret != config.secret {
            return Err(LinkError::Foreign("secret"));
        }
        if self.vm == config.vm {
            return Err(LinkError::WrongPeer(self.vm.to_string()));
        }
        Ok(())
    }
}

/// Handshake message of the accepting side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Welcome {
    /// The accepting VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
}

impl Welcome {
    /// Encodes the message as CBOR.
    pub fn encode(self) -> Result<Bytes, LinkError> {
        to_cbor(&WireWelcome::from(self), HANDSHAKE_CAPACITY_BYTES)
    }

    /// Decodes the message from CBOR.
    pub fn decode(data: &[u8]) -> Result<Welcome, LinkError> {
        from_cbor::<WireWelcome>(data).and_then(Welcome::try_from)
    }
}

/// Encoded form of [`Hello`].
#[derive(Deserialize, Serialize)]
struct WireHello {
    #[serde(rename = "v")]
    version: u32,
    site: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    secret: Option<String>,
    vm: String,
    domain: String,
    number: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lost: Option<u64>,
}

impl From<Hello> for WireHello {
    fn from(hello: Hello) -> WireHello {
        WireHello {
            version: hello.version,
            site: hello.site,
            secret: hello.secret.map(|s| s.0),
            vm: hello.vm.into(),
            domain: hello.domain.into(),
            number: hello.number,
            lost: hello.lost,
        }
    }
}

impl TryFrom<WireHello> for Hello {
    type Error = LinkError;

    fn try_from(wire: WireHello) -> Result<Hello, LinkError> {
        Ok(Hello {
            version: wire.version,
            site: wire.site,
            secret: wire.secret.map(Secret),
            vm: wire.vm.try_into().map_err(malformed_id)?,
            domain: wire.domain.try_into().map_err(malformed_id)?,
            number: wire.number,
            lost: wire.lost,
        })
    }
}

/// Encoded form of [`Welcome`].
#[derive(Deserialize, Serialize)]
struct WireWelcome {
    vm: String,
    domain: String,
}

impl From<Welcome> for WireWelcome {
    fn from(welcome: Welcome) -> WireWelcome {
        WireWelcome {
            vm: welcome.vm.into(),
            domain: welcome.domain.into(),
        }
    }
}

impl TryFrom<WireWelcome> for Welcome {
    type Error = LinkError;

    fn try_from(wire: WireWelcome) -> Result<Welcome, LinkError> {
        Ok(Welcome {
            vm: wire.vm.try_into().map_err(malformed_id)?,
            domain: wire.domain.try_into().map_err(malformed_id)?,
        })
    }
}

fn malformed_id(error: base::IdError) -> LinkError {
    LinkError::Malformed(error.to_string())
}
