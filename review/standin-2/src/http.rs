//! Just enough HTTP/1.1 for the stand-ins, from the standard library alone.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request that was read in whole.
pub struct Request {
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a field of the query.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(k, _)| k == name);
    found.next().map(|(_, v)| v.as_str())
}

/// Serves connections, each in a thread; `handle` returns whether to go on with the connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _closed = connection(stream, &*handle);
            });
        }
    });
}

fn connection<F>(mut stream: TcpStream, handle: &F) -> io::Result<()>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handle(&request, &mut stream)? {
            break;
        }
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let length = find(&headers, "content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    }
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

/// Reads chunks up to and with the last one.
fn read_chunks(reader: &mut impl BufRead, mut each: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        each(&chunk[..size]);
    }
}

/// Answers with a body of known length.
pub fn reply(stream: &mut TcpStream, status: u16, more: &str, body: &[u8]) -> io::Result<bool> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{more}\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status; 0 if the connection ended without one.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its length or its chunks say.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn send(address: &str, method: &str, target: &str, headers: &str, body: &[u8]) -> Answer {
    let mut answer = Answer::default();
    let _cut = exchange(&mut answer, address, (method, target, headers), body);
    answer
}

fn exchange(
    answer: &mut Answer,
    address: &str,
    (method, target, headers): (&str, &str, &str),
    body: &[u8],
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\n{headers}\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.status = status.unwrap_or_default();
    answer.headers = headers;
    let length = answer
        .header("content-length")
        .and_then(|l| l.parse::<usize>().ok());
    if let Some(length) = length {
        let mut limited = reader.take(length as u64);
        limited.read_to_end(&mut answer.body)?;
        answer.whole = answer.body.len() == length;
    } else if answer.header("transfer-encoding").is_some() {
        read_chunks(&mut reader, |chunk| answer.body.extend_from_slice(chunk))?;
        answer.whole = true;
    } else {
        reader.read_to_end(&mut answer.body)?;
        answer.whole = true;
    }
    Ok(())
}
