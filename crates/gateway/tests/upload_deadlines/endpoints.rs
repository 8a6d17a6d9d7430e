//! Stand-in endpoints that fail at a given point of an upload, and a record of what they received.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;
use weldworks_testbed::scripted::HttpMessage;

/// Time for which an endpoint that has stopped keeps its connection open: longer than any client waits.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// Receive buffer and pace of [`Behaviour::Trickle`].
const TRICKLE_RECEIVE_BUFFER_BYTES: usize = 4 << 10;
const TRICKLE_BYTES: usize = 100;
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);

/// What an endpoint does with an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Reads the whole request and answers it.
    Serve,
    /// Reads this many bytes, writes `answer_start`, and does nothing more.
    Stop { read_bytes: usize, answer_start: &'static str },
    /// Reads a few bytes at a time, far more slowly than the request could be read in its time.
    Trickle,
    /// Reads this many bytes, does nothing for `pause`, and serves the request then.
    Pause { read_bytes: usize, pause: Duration },
}

/// One complete request, as an endpoint received it.
#[derive(Clone, Debug)]
pub struct CompleteRequest {
    /// Whether the body has the length that the client announced in `X-Attrs`, and the content of [`body_byte`].
    pub is_intact: bool,
}

/// The complete requests that all endpoints of a test received, by request id.
#[derive(Clone, Debug, Default)]
pub struct Received(Arc<Mutex<HashMap<String, Vec<CompleteRequest>>>>);

impl Received {
    /// The complete requests with this id.
    pub fn of(&self, request_id: &str) -> Vec<CompleteRequest> {
        self.0.lock().expect("lock poisoned").get(request_id).cloned().unwrap_or_default()
    }

    fn record(&self, request_id: String, request: CompleteRequest) {
        self.0.lock().expect("lock poisoned").entry(request_id).or_default().push(request);
    }
}

/// The byte at this offset of every upload.
pub fn body_byte(offset: usize) -> u8 {
    (offset % 251) as u8
}

/// Starts an endpoint whose behaviour is chosen for each connection, and returns its address.
pub fn start_endpoint(
    received: &Received,
    behaviour: impl Fn() -> Behaviour + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
    let address = listener.local_addr().expect("no local address");
    let received = received.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour();
            let received = received.clone();
            spawn(move || serve_connection(stream, behaviour, &received));
        }
    });
    address
}

/// An endpoint whose accept queue is full, so that a connection neither comes up nor is refused.
pub struct UnreachableEndpoint {
    /// The address at which connections don't come up.
    pub address: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl UnreachableEndpoint {
    /// Starts the endpoint and fills its accept queue.
    pub fn start() -> UnreachableEndpoint {
        let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("no socket");
        let listener = new_socket();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind failed");
        listener.listen(0).expect("listen failed");
        let address = listener.local_addr().ok().and_then(|address| address.as_socket()).expect("no address");
        let queued = (0..3)
            .map(|_| {
                let socket = new_socket();
                socket.set_nonblocking(true).expect("set_nonblocking failed");
                let _ = socket.connect(&address.into()); // the connection may still be in progress
                socket
            })
            .collect();
        UnreachableEndpoint { address, _listener: listener, _queued: queued }
    }
}

fn serve_connection(mut stream: TcpStream, behaviour: Behaviour, received: &Received) {
    // An error only ends the connection: the gateway may close it at any point.
    let _ = match behaviour {
        Behaviour::Serve => serve(&stream, received),
        Behaviour::Stop { read_bytes, answer_start } => {
            read_exactly(&mut stream, read_bytes).and_then(|()| {
                stream.write_all(answer_start.as_bytes())?;
                sleep(HOLD_TIME);
                Ok(())
            })
        }
        Behaviour::Trickle => trickle(&mut stream),
        Behaviour::Pause { read_bytes, pause } => serve_after_pause(&stream, read_bytes, pause, received),
    };
}

fn read_exactly(stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    std::io::copy(&mut Read::take(stream, bytes as u64), &mut std::io::sink()).map(drop)
}

fn trickle(stream: &mut TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(&*stream).set_recv_buffer_size(TRICKLE_RECEIVE_BUFFER_BYTES)?;
    loop {
        sleep(TRICKLE_INTERVAL);
        read_exactly(stream, TRICKLE_BYTES)?;
    }
}

fn serve(stream: &TcpStream, received: &Received) -> std::io::Result<()> {
    serve_from(stream, stream, received)
}

fn serve_after_pause(
    stream: &TcpStream,
    read_bytes: usize,
    pause: Duration,
    received: &Received,
) -> std::io::Result<()> {
    let mut start = vec![0; read_bytes];
    let mut reader = stream;
    reader.read_exact(&mut start)?;
    sleep(pause);
    serve_from(start.as_slice().chain(stream), stream, received)
}

fn serve_from(reader: impl Read, mut writer: &TcpStream, received: &Received) -> std::io::Result<()> {
    let mut reader = BufReader::new(reader);
    while read_request(&mut reader, received) {
        writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
    }
    Ok(())
}

/// Reads and records one request; false at the end of the connection.
fn read_request(reader: &mut impl BufRead, received: &Received) -> bool {
    let Some(request) = HttpMessage::read(reader) else { return false };
    let announced = request.header("x-attrs").and_then(|text| text.strip_prefix("length=")?.parse().ok());
    let has_content = request.body.iter().enumerate().all(|(offset, byte)| *byte == body_byte(offset));
    let is_intact = has_content && announced == Some(request.body.len());
    let request_id = request.header("x-request-id").unwrap_or_default();
    received.record(request_id.to_owned(), CompleteRequest { is_intact });
    true
}
