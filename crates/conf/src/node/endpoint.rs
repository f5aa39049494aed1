//! Base address of an HTTP service.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

const SCHEME: &str = "http://";

quick_error! {
    /// Error of parsing an [`Endpoint`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum EndpointError {
        /// The host part is not an IP address with a port.
        Address(text: String) {
            display("{text:?} is not an IP number with a port")
        }
        /// The path contains a character that is not allowed.
        Path(text: String) {
            display("{text:?} is not a plain path")
        }
        /// The scheme is not `http`.
        Scheme {
            display("the scheme is not http")
        }
    }
}

/// Base address of an HTTP service, such as `http://127.0.0.1:2379`, without a final slash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    addr: SocketAddr,
    path: String,
}

impl Endpoint {
    /// Socket address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Appends `path`, which must start with a slash, and returns the URL.
    pub fn join(&self, path: &str) -> String {
        format!("{self}{path}")
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(addr: SocketAddr) -> Endpoint {
        Endpoint {
            addr,
            path: String::new(),
        }
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SCHEME}{}{}", self.addr, self.path)
    }
}

impl FromStr for Endpoint {
    type Err = EndpointError;

    fn from_str(text: &str) -> Result<Endpoint, EndpointError> {
        let rest = text.strip_prefix(SCHEME).ok_or(EndpointError::Scheme)?;
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let addr = host
            .parse()
            .map_err(|_| EndpointError::Address(host.to_string()))?;
        if !path.bytes().all(is_path_byte) {
            return Err(EndpointError::Path(path.to_string()));
        }
        Ok(Endpoint {
            addr,
            path: path.trim_end_matches('/').to_string(),
        })
    }
}

fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"/-_.~".contains(&byte)
}
