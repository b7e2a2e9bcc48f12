//! Just enough of HTTP/1.1 for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// A message: its first line, its headers in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has come to its proper end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if message.line.is_empty() {
            message.line = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message; leaves `whole` unset if it breaks off.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length");
    let length: Option<usize> = length.and_then(|l| l.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
        }
    }
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    message.whole = true;
    Ok(())
}

/// Answers the requests of each connection until one returns `false` or the peer leaves.
pub fn serve<F>(listener: TcpListener, handler: Arc<F>)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ended = serve_connection(stream, handler.as_ref());
            });
        }
    });
}

fn serve_connection<F>(mut stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request)?;
        if !handler(&request, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Sends a request on a connection and reads its response.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<Option<Message>> {
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(mut response) = read_head(&mut reader)? else {
        return Ok(None);
    };
    // What breaks off is returned as it came, not whole.
    let _broken = read_body(&mut reader, &mut response);
    Ok(Some(response))
}
