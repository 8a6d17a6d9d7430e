//! Tests of the HTTP server: a close that is decided while a request arrives, and a configuration reload while a request arrives.

use super::client_connection::ClientConnection;
use super::*;
use crate::engine::message::Message;
use crate::transport::descriptor_budget::AdminApi;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as ClientStream};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;
use weldworks_control::drain;

/// Request settings with the class `once` and these tenants.
fn settings(tenants: &[&str]) -> RequestSettings {
    let mut classes = ClassRegistry::default();
    let class = weldworks_balancer::RequestClass {
        idempotency: weldworks_balancer::Idempotency::NotIdempotent,
        ..weldworks_balancer::RequestClass::new(CLASS_DEADLINE, CLASS_DEADLINE)
    };
    classes.replace(Duration::ZERO, [("once".to_owned(), class)]);
    RequestSettings::new(&classes, tenants.iter().map(|t| (*t).to_owned()).collect(), &Settings::default())
}

const CLASS_DEADLINE: Duration = Duration::from_secs(30);

fn server() -> (Rc<Server>, UnboundedReceiver<Message>) {
    let (engine, messages) = EngineHandle::new();
    let settings = settings(&["north", "south"]);
    let drain = drain::DrainSettings { longest_deadline: Duration::from_secs(1), shared_listener: false };
    let service = Rc::new(ServiceState::new(drain, engine.clone(), Rc::default(), None));
    (
        Rc::new(Server::new(
            engine,
            settings,
            &DescriptorBudget::new(&Default::default(), AdminApi::Disabled),
            service,
        )),
        messages,
    )
}

/// Connects a client; returns the client's end of the connection and the server's state of it.
fn connected(server: &Rc<Server>) -> (ClientStream, Rc<ClientConnection>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a port");
    let client = ClientStream::connect(listener.local_addr().expect("failed to get the listener's address"))
        .expect("failed to connect");
    let (stream, _) = listener.accept().expect("failed to accept a connection");
    for stream in [&stream, &client] {
        stream.set_nonblocking(true).expect("failed to set the stream non-blocking");
    }
    let stream = TcpStream::from_std(stream).expect("failed to register the stream with the runtime");
    server.start_connection(stream, server.clients.acquire_permit().expect("no descriptor permit left"));
    let connection = server.clients.connections.borrow()[0].clone();
    (client, connection)
}

const HEALTH_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n";

/// Counts the responses that arrive, up to `limit` or until the connection ends.
async fn count_responses(client: &mut ClientStream, limit: usize) -> usize {
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match client.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Err(_) => break,
        }
        if String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() >= limit {
            break;
        }
    }
    String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count()
}

/// A client writes a request after the runtime last polled the sockets, while the server decides to close the connection as idle. The
/// connection must not be closed before that request is answered, or the client would have to resend the request.
#[tokio::test]
async fn a_request_that_arrived_since_the_last_poll_is_answered_before_a_close() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, _messages) = server();
            let (mut client, connection) = connected(&server);
            client.write_all(HEALTH_REQUEST).expect("failed to write the request");
            assert_eq!(count_responses(&mut client, 1).await, 1);
            for _ in 0..20 {
                client.write_all(HEALTH_REQUEST).expect("failed to write the request");
                connection.is_closing.set(true);
                connection.close_requested.notify_one();
                assert_eq!(
                    count_responses(&mut client, 1).await,
                    1,
                    "a request that was unread when the close was decided got no response"
                );
            }
            // A connection with nothing unread is closed.
            connection.is_closing.set(true);
            connection.close_requested.notify_one();
            assert_eq!(count_responses(&mut client, 1).await, 0);
        })
        .await;
}

/// A configuration reload gives the tenants other indexes while the body of a request arrives. The request must carry the new index of
/// its own tenant, or it would count against the quota of another tenant.
#[tokio::test]
async fn a_request_keeps_its_tenant_when_a_reload_changes_the_tenant_indexes() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, mut messages) = server();
            for (name, tenant_index) in [("south", 2), ("north", 0), ("unlisted", 3)] {
                server.reconfigure(settings(&["north", "south"]));
                let (mut client, connection) = connected(&server);
                let head = format!(
                    "POST /once HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}\r\nX-Priority-Class: once\r\nX-Tenant-Id: {name}\r\n\
                     X-Timeout: 9000m\r\nContent-Length: 2\r\n\r\nb"
                );
                client.write_all(head.as_bytes()).expect("failed to write the request");
                while connection.request_count.get() == 0 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                server.reconfigure(settings(&["north", "east", "south"]));
                client.write_all(b"y").expect("failed to write the request");
                let Some(Message::RequestArrived(arrival)) = messages.recv().await else { panic!("no request") };
                assert_eq!(arrival.request.tenant, tenant_index, "{name}");
                drop(client);
                assert!(matches!(messages.recv().await, Some(Message::ClientDisconnected(_))));
                while !server.clients.connections.borrow().is_empty() {
                    server.clients.slot_released.notified().await;
                }
            }
        })
        .await;
}
