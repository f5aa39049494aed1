//! A server that plays the daemon, and runs of the tool against it.

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

/// What the server does with each call.
#[derive(Clone)]
pub enum Script {
    /// Answers with this status and body.
    Answer(u16, Value),
    /// Answers requests as a callers' port does, with these outcomes in turn.
    Outcomes(&'static [&'static str]),
    /// Answers requests under another request's id.
    Foreign,
    /// Never answers.
    Silent,
}

/// A call as the server got it.
#[derive(Clone, Debug)]
pub struct Call {
    pub line: String,
    pub body: Value,
    pub headers: Vec<(String, String)>,
}

pub struct Daemon {
    pub at: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

/// A finished run of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

impl Daemon {
    pub fn start(script: Script) -> Daemon {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (tx, rx) = mpsc::channel();
        let shared = calls.clone();
        thread::spawn(move || actix_rt::System::new().block_on(serve(script, shared, tx)));
        let at = rx.recv().unwrap();
        Daemon { at, calls }
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
}

async fn serve(script: Script, calls: Arc<Mutex<Vec<Call>>>, tx: mpsc::Sender<SocketAddr>) {
    let state = web::Data::new((script, calls));
    let app = move || {
        let app = App::new().app_data(state.clone());
        app.default_service(web::to(answer))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind(("127.0.0.1", 0)).unwrap();
    tx.send(server.addrs()[0]).unwrap();
    server.run().await.unwrap();
}

type State = web::Data<(Script, Arc<Mutex<Vec<Call>>>)>;

async fn answer(request: HttpRequest, body: web::Bytes, state: State) -> HttpResponse {
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
        Script::Answer(status, body) => {
            HttpResponse::build(StatusCode::from_u16(*status).unwrap()).json(body)
        }
        Script::Outcomes(list) => HttpResponse::Ok()
            .insert_header(("bt-request-id", id.unwrap()))
            .insert_header(("bt-outcome", list[(count - 1) % list.len()]))
            .body("done"),
        Script::Foreign => HttpResponse::Ok()
            .insert_header(("bt-request-id", "other"))
            .insert_header(("bt-outcome", "ran"))
            .body("done"),
        Script::Silent => std::future::pending().await,
    }
}

/// Runs the tool with these arguments.
pub fn tackctl(args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tackctl"));
    let output = command.args(args).env("USER", "ana").output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool against one daemon, and returns the run with the calls it made.
pub fn play(script: Script, args: &[&str]) -> (Run, Vec<Call>) {
    let daemon = Daemon::start(script);
    let at = daemon.at.to_string();
    let mut all = args.to_vec();
    all.extend(["--at", &at]);
    (tackctl(&all), daemon.calls())
}

/// An accepted change.
pub fn accepted() -> Value {
    serde_json::json!({
        "op": "op-1", "revision": 8, "repeated": false,
        "in_force": ["vm-1", "vm-2"], "not_heard": ["vm-3"],
    })
}
