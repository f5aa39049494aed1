//! A crowd of clients that send what a daemon cannot answer, and hold their connections.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use platform_fakes::API_KEY;
use platform_fakes::HOST;

/// Time between two rounds in which each client sends what the daemon takes.
const ROUND: Duration = Duration::from_millis(10);

/// Rounds without progress after which the crowd has sent what the daemon takes.
const IDLE_ROUNDS: usize = 100;

/// Size of the pieces in which some clients send.
const PIECE: usize = 4 << 10;

/// Size of a chunk of a body without a limit.
const LARGE_CHUNK: usize = 64 << 10;

/// Requests that each client sends before it reads a response.
const PIPELINED: usize = 4_000;

/// Size of a head without an end.
const HEAD_BYTES: usize = 90_000;

/// Chunks of one byte.
const SMALL_CHUNKS: usize = 40_000;

/// Size of a body far over the limit, and the part of it that is sent.
const HUGE_BYTES: usize = 256 << 20;
const HUGE_SENT: usize = 2 << 20;

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Sends a body up to one byte before its end.
    Unfinished,
    /// As `Unfinished`, in small pieces.
    Pieces,
    /// Sends one large chunk up to one byte before its end.
    LargeChunk,
    /// Sends chunks of one byte without an end.
    SmallChunks,
    /// Announces a body far over the limit.
    HugeAnnounced,
    /// Sends a body far over the limit in chunks.
    HugeSent,
    /// Sends headers without an end.
    EndlessHead,
    /// Sends whole requests of the largest size and many small parts.
    Whole,
    /// Sends thousands of requests and reads no response.
    Pipelined,
    /// As `Unfinished`, and connects again at once when the daemon closes the connection.
    Returning,
}

/// A request that the clients of a crowd send.
#[derive(Clone, Debug)]
pub struct Target {
    pub address: SocketAddr,
    /// Method, path and headers of a request with a body, each line with its end.
    pub post: String,
    /// Method and path of a request without a body.
    pub get: &'static str,
    /// A body of the largest legal size.
    pub body: Vec<u8>,
}

impl Target {
    /// The callers' port of `batch`, or another that is called as if it were.
    pub fn batch(address: SocketAddr, body: Vec<u8>) -> Target {
        let post = format!(
            "POST /q/00000000000000b1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {API_KEY}\r\n"
        );
        Target {
            address,
            post,
            get: "GET /q/00000000000000a1",
            body,
        }
    }

    /// The callers' port of `serve`, or another that is called as if it were.
    pub fn serve(address: SocketAddr, body: Vec<u8>) -> Target {
        let post =
            "POST /v1/requests/a HTTP/1.1\r\nhost: a\r\nbt-request-id: r\r\nbt-org: board\r\n";
        Target {
            address,
            post: post.to_string(),
            get: "GET /v1/jobs",
            body,
        }
    }

    fn bytes(&self, mode: Mode) -> Vec<u8> {
        let Target {
            post, get, body, ..
        } = self;
        let sized = |size: usize| format!("{post}content-length: {size}\r\n\r\n").into_bytes();
        let chunked = format!("{post}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let short = &body[..body.len() - 1];
        match mode {
            Mode::Unfinished | Mode::Pieces | Mode::Returning => {
                [&sized(body.len()), short].concat()
            }
            Mode::LargeChunk => {
                [&chunked, format!("{:x}\r\n", body.len()).as_bytes(), short].concat()
            }
            Mode::SmallChunks => [chunked, b"1\r\nx\r\n".repeat(SMALL_CHUNKS)].concat(),
            Mode::HugeAnnounced => [sized(HUGE_BYTES), vec![b'x'; HUGE_SENT]].concat(),
            Mode::HugeSent => {
                let size = format!("{LARGE_CHUNK:x}\r\n").into_bytes();
                let chunk = [size, vec![b'x'; LARGE_CHUNK], b"\r\n".to_vec()].concat();
                [chunked, chunk.repeat(HUGE_SENT / LARGE_CHUNK)].concat()
            }
            Mode::EndlessHead => [post.as_bytes(), b"x-pad: ", &[b'x'; HEAD_BYTES]].concat(),
            Mode::Whole => [&sized(body.len()), body.as_slice()].concat(),
            Mode::Pipelined => {
                let request = format!("{get} HTTP/1.1\r\nhost: {HOST}\r\n\r\n").into_bytes();
                request.repeat(PIPELINED)
            }
        }
    }
}

/// A client of a crowd.
struct Client {
    stream: Option<TcpStream>,
    sent: usize,
    returns: usize,
}

/// A crowd that holds its connections until it is dropped.
pub struct Crowd {
    clients: Vec<Client>,
}

impl Crowd {
    /// Connects `size` clients, and lets each send in rounds until the daemon takes no more. Each
    /// returning client connects again up to `returns` times.
    pub fn send(target: &Target, mode: Mode, size: usize, returns: usize) -> Crowd {
        let bytes = target.bytes(mode);
        let returns = match mode {
            Mode::Returning => returns,
            _ => 0,
        };
        let mut clients: Vec<Client> = (0..size)
            .map(|_| Client {
                stream: connect(target.address),
                sent: 0,
                returns,
            })
            .collect();
        let mut idle = 0;
        while idle < IDLE_ROUNDS {
            idle += 1;
            for client in &mut clients {
                if client.advance(target.address, mode, &bytes) {
                    idle = 0;
                }
            }
            sleep(ROUND);
        }
        Crowd { clients }
    }

    /// Number of clients whose connection was not closed while they sent.
    pub fn open(&self) -> usize {
        self.clients.iter().filter(|c| c.stream.is_some()).count()
    }
}

impl Client {
    /// Sends what the daemon takes now. Returns whether there was any progress.
    fn advance(&mut self, address: SocketAddr, mode: Mode, bytes: &[u8]) -> bool {
        let mut progress = false;
        if self.returns > 0 && self.is_closed() {
            self.returns -= 1;
            self.sent = 0;
            self.stream = connect(address);
            progress = true;
        }
        let most = match mode {
            Mode::Pieces => PIECE,
            _ => bytes.len(),
        };
        let end = bytes.len().min(self.sent + most);
        while self.sent < end {
            let Some(stream) = &mut self.stream else {
                break;
            };
            match stream.write(&bytes[self.sent..end]) {
                Ok(count) => {
                    self.sent += count;
                    progress = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.stream = None,
            }
        }
        progress
    }

    fn is_closed(&mut self) -> bool {
        let Some(stream) = &mut self.stream else {
            return true;
        };
        match stream.read(&mut [0; 512]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// A new connection; `None` if the daemon takes none.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
