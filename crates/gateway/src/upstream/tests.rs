//! Load reports, and ends of idle connections that are told.

use super::*;
use crate::body::ForwardedRequest;
use crate::transport::descriptor_budget::DescriptorBudget;
use hyper::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use weldworks_balancer::{LoadReport, Outcome};

/// The load report that is read from an answer with this head, and the outcome.
async fn heard(status: &str, head: &str) -> (Outcome, Option<LoadReport>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = format!("HTTP/1.1 {status}\r\n{head}Content-Length: 2\r\n\r\nok");
    let host = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(answer.as_bytes()).await.expect("an answer");
        stream
    };
    let settings = r#"{"stats":{"how":"inline","fields":["throughput","outstanding"]}}"#;
    let fields = LoadReportFields::parse(settings).expect("settings");
    let (dial, keep) = (Duration::from_secs(5), Duration::from_secs(10));
    let pool = ConnectionPool::new(
        DescriptorBudget::new(&Default::default(), false).upstream,
        ConnectionSettings { dial_timeout: dial, keep_alive: keep, load_report_fields: fields },
        Rc::default(),
    );
    let (method, uri) = (hyper::Method::GET, hyper::Uri::from_static("/look"));
    let forward = ForwardedRequest { method, uri, headers: HeaderMap::new(), body: Default::default() };
    let attempt = Attempt {
        endpoint: Rc::new(UpstreamEndpoint {
            id: EndpointId(0),
            address: Cell::new(Some(address)),
            is_active: Cell::new(true),
        }),
        request: Rc::new(forward),
        deadline: Deadline::new(Instant::now() + Duration::from_secs(10)),
        write_by: None,
        liveness: Rc::new(crate::transport::client_liveness::ClientLiveness::unobserved()),
        cancel: Rc::default(),
    };
    let (end, _host) = tokio::join!(pool.attempt(&attempt, &|_| {}), host);
    (end.outcome, end.load_report)
}

#[tokio::test]
async fn a_load_report_is_read_from_any_answer_and_a_bad_one_costs_nothing_else() {
    let good = "X-Server-Load: TEXT throughput=27.5, outstanding=7\r\n";
    let report = Some(LoadReport { requests_per_second: 27.5, in_flight: 7.0 });
    assert_eq!(heard("200 OK", good).await, (Outcome::Served, report));
    assert_eq!(heard("500 Oops", good).await, (Outcome::Error, report));
    let twice = good.repeat(2);
    let bad =
        ["", "X-Server-Load: TEXT throughput=-1, outstanding=NaN\r\n", "X-Server-Load: \u{e9}\r\n", &twice];
    for head in bad {
        assert_eq!(heard("200 OK", head).await, (Outcome::Served, None), "{head:?}");
    }
}

/// Has a request served, does `then` with the host's end of the connection, and gives what the pool tells of it.
async fn told_after(
    then: impl AsyncFnOnce(&ConnectionPool, &mut tokio::net::TcpStream),
) -> Option<ClosedIdleConnection> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = Cell::new(Some(listener.local_addr().expect("an address")));
    let (dial, keep) = (Duration::from_secs(5), Duration::from_secs(60));
    let pool = ConnectionPool::new(
        DescriptorBudget::new(&Default::default(), false).upstream,
        ConnectionSettings {
            dial_timeout: dial,
            keep_alive: keep,
            load_report_fields: LoadReportFields::default(),
        },
        Rc::default(),
    );
    let (method, uri) = (hyper::Method::GET, hyper::Uri::from_static("/look"));
    let forward = ForwardedRequest { method, uri, headers: HeaderMap::new(), body: Default::default() };
    let attempt = Attempt {
        endpoint: Rc::new(UpstreamEndpoint { id: EndpointId(3), address, is_active: Cell::new(true) }),
        request: Rc::new(forward),
        deadline: Deadline::new(Instant::now() + Duration::from_secs(10)),
        write_by: None,
        liveness: Rc::new(crate::transport::client_liveness::ClientLiveness::unobserved()),
        cancel: Rc::default(),
    };
    let host = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("an answer");
        stream
    };
    let (end, mut stream) = tokio::join!(pool.attempt(&attempt, &|_| {}), host);
    assert_eq!(end.outcome, Outcome::Served);
    let told = Cell::new(None);
    tokio::select! {
        () = pool.close_expired(|closed| told.set(Some(closed))) => {}
        () = async {
            tokio::time::sleep(4 * LOOK).await; // it is being watched by now
            then(&pool, &mut stream).await;
            let begun = Instant::now();
            while told.get().is_none() && begun.elapsed() < Duration::from_secs(2) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        } => {}
    }
    told.get()
}

#[tokio::test]
async fn an_end_by_the_host_is_told_and_noise_is_not() {
    let ended = told_after(async |_, stream| stream.shutdown().await.expect("an end")).await;
    let ClosedIdleConnection { endpoint: host, idle_for: idle, remaining: left, .. } = ended.expect("told");
    assert_eq!((host, left), (EndpointId(3), 0));
    assert!(idle >= 4 * LOOK, "{idle:?}");
    assert_eq!(told_after(async |_, stream| stream.write_all(b"noise").await.expect("written")).await, None);
    assert_eq!(told_after(async |_, _| {}).await, None);
}

/// A second answer comes 5 ms behind the first: until then the connection serves nobody, and from then on it is known for what it
/// is, however late this process looks.
#[tokio::test]
async fn a_connection_rests_for_longer_than_a_second_answer_takes() {
    for stray in [false, true] {
        let left = Rc::new(Cell::new(None));
        let found = left.clone();
        told_after(async move |pool, stream| {
            let host = EndpointId(3);
            let age = |to: Duration| {
                for connection in pool.idle.borrow_mut().iter_mut() {
                    connection.idle_since = Instant::now() - to;
                }
            };
            let address = Cell::new(stream.local_addr().ok());
            let host = UpstreamEndpoint { id: host, address, is_active: Cell::new(true) };
            age(Duration::from_millis(5));
            let rests = pool.reuse(&host).await.is_none();
            if stray {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
                    .await
                    .expect("written");
            }
            age(Duration::from_millis(7));
            found.set(Some((rests, pool.reuse(&host).await.is_some())));
        })
        .await;
        assert_eq!(left.take(), Some((true, !stray)), "stray: {stray}");
    }
}

#[tokio::test]
async fn what_is_idle_is_held_to_the_new_keep_alive() {
    let told = told_after(async |pool, stream| {
        let keepalive = Duration::from_millis(10);
        let terms = ConnectionSettings { keep_alive: keepalive, ..pool.terms.borrow().clone() };
        pool.reconfigure(terms);
        let read = timeout(Duration::from_secs(30), stream.read(&mut [0; 1])).await;
        assert!(matches!(read, Ok(Ok(0))), "its end: {read:?}");
    });
    assert_eq!(told.await, None, "the host had no part in it");
}
