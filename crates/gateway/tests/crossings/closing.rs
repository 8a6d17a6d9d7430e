//! Connections that either side closes at the moment of use.

use super::*;

/// A client that is told that its request is too long, and writes on for a while, is not cut off before it has read that.
#[test]
fn who_writes_on_is_not_cut_off_before_it_has_read_its_answer() {
    let (gateway, _discovery) = start("writes-on", &[]);
    let text = request("once").replace("Content-Length: 4", &format!("Content-Length: {}", 40 << 20));
    let mut client = gateway.connect();
    client.write(text.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 413);
    // The same, with an end: it writes more than any buffer on the way holds, and then reads.
    let mut client = TcpStream::connect(&gateway.address).expect("a connection");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    client.write_all(text.as_bytes()).expect("a head");
    let piece = vec![b'x'; 64 << 10];
    for _ in 0..256 {
        client.write_all(&piece).expect("it is still read");
    }
    let answer = ottervane_rig::scripted::Http::read(&mut BufReader::new(client)).expect("an answer");
    assert_eq!(answer.status(), 413);
}
