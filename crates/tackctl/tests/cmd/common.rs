//! A fake daemon and helpers that run the tool against it.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use serde_json::Value;

/// How the fake daemon handles each call.
#[derive(Clone)]
pub enum Behaviour {
    /// Responds with this status and JSON body.
    Reply(u16, Value),
    /// Responds as a callers' port does, with these outcomes in turn.
    Outcomes(&'static [&'static str]),
    /// Responds as a callers' port does, but with the id of another request.
    ForeignId,
    /// Accepts the call and never responds.
    NoAnswer,
}

/// A call that the fake daemon received.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method and URI.
    pub line: String,
    /// The JSON body, or null if there is none.
    pub body: Value,
    pub headers: Vec<(String, String)>,
}

/// A fake daemon on a free loopback port. Its thread runs until the test process ends.
pub struct FakeDaemon {
    pub at: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

/// Result of a run of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

impl FakeDaemon {
    pub fn start(behaviour: Behaviour) -> FakeDaemon {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (tx, rx) = mpsc::channel();
        let received = calls.clone();
        thread::spawn(move || actix_rt::System::new().block_on(serve(behaviour, received, tx)));
        let at = rx.recv().unwrap();
        FakeDaemon { at, calls }
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
}

async fn serve(behaviour: Behaviour, calls: Arc<Mutex<Vec<Call>>>, tx: mpsc::Sender<SocketAddr>) {
    let state = web::Data::new((behaviour, calls));
    let app = move || {
        let app = App::new().app_data(state.clone());
        app.default_service(web::to(handle))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind(("127.0.0.1", 0)).unwrap();
    tx.send(server.addrs()[0]).unwrap();
    server.run().await.unwrap();
}

type State = web::Data<(Behaviour, Arc<Mutex<Vec<Call>>>)>;

async fn handle(request: HttpRequest, body: web::Bytes, state: State) -> HttpResponse {
    let text = |v: &actix_web::http::header::HeaderValue| v.to_str().unwrap().to_string();
    let headers = request.headers().iter();
    let call = Call {
        line: format!("{} {}", request.method(), request.uri()),
        body: serde_json::from_slice(&body).unwrap_or_default(),
        headers: headers.map(|(k, v)| (k.to_string(), text(v))).collect(),
    };
    let id = request.headers().get("bt-request-id").map(text);
    let count = {
        let mut calls = state.1.lock().unwrap();
        calls.push(call);
        calls.len()
    };
    match &state.0 {
        Behaviour::Reply(status, body) => {
            HttpResponse::build(StatusCode::from_u16(*status).unwrap()).json(body)
        }
        Behaviour::Outcomes(list) => HttpResponse::Ok()
            .insert_header(("bt-request-id", id.unwrap()))
            .insert_header(("bt-outcome", list[(count - 1) % list.len()]))
            .body("done"),
        Behaviour::ForeignId => HttpResponse::Ok()
            .insert_header(("bt-request-id", "other"))
            .insert_header(("bt-outcome", "ran"))
            .body("done"),
        Behaviour::NoAnswer => std::future::pending().await,
    }
}

/// Runs the tool with these arguments, as the user `ana`.
pub fn tackctl(args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tackctl"));
    let output = command.args(args).env("USER", "ana").output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool with `--at` set to a new fake daemon. Returns the result and the calls received.
pub fn run_against(behaviour: Behaviour, args: &[&str]) -> (Run, Vec<Call>) {
    let daemon = FakeDaemon::start(behaviour);
    let at = daemon.at.to_string();
    let mut all = args.to_vec();
    all.extend(["--at", &at]);
    (tackctl(&all), daemon.calls())
}

/// The reply to an accepted change.
pub fn change_reply() -> Value {
    serde_json::json!({
        "op": "op-1", "revision": 8, "repeated": false,
        "in_force": ["vm-1", "vm-2"], "not_heard": ["vm-3"],
    })
}
