//! Reports fatal signals of a process on standard error.
//!
//! The report neither allocates nor locks, since the fault may have happened inside
//! the allocator.

use std::ffi::CStr;
use std::fmt;
use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crash_handler::CrashContext;
use crash_handler::CrashEventResult;
use crash_handler::CrashHandler;
use rustix::fs::Mode;
use rustix::fs::OFlags;
use rustix::io::Errno;
use rustix::time::ClockId;

/// The maximum length of a line.
const LINE_BYTES: usize = 1_024;

/// The part of the stack that is searched for return addresses.
const STACK_BYTES: usize = 4 * 1_024;

/// How long the process stays alive after its report.
///
/// A supervisor that forwards standard error may lose lines written just before the
/// process ends.
const REPORT_GRACE: Duration = Duration::from_millis(5);

/// The smallest size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// The bytes of code reported from the instruction on.
const CODE_BYTES: usize = 16;

/// The bytes of code reported before the instruction.
const CODE_BEFORE_BYTES: usize = 8;

/// The maximum number of return addresses reported.
const FRAMES_MAX: usize = 16;

/// Installs the handler that reports fatal signals.
///
/// The process then ends as it would without the handler.
///
/// # Errors
///
/// Returns the library's error if the handler can't be installed.
pub fn install(program: &'static str) -> Result<(), crash_handler::Error> {
    let report = Report {
        program,
        objects: mapped_objects().unwrap_or_else(|error| {
            eprintln!("{program}: /proc/self/maps: {error}; fatal signals will be reported without the names of programs and libraries");
            Vec::new()
        }),
    };
    // SAFETY: the closure only formats into memory of its own stack and makes
    // system calls that are safe in a signal handler.
    let event = unsafe { crash_handler::make_crash_event(move |context| report.write(context)) };
    // Dropping it would remove the handler, but threads may still fault while the
    // process exits.
    std::mem::forget(CrashHandler::attach(event)?);
    Ok(())
}

/// Data collected in advance, since a signal handler can't collect it.
#[derive(Debug)]
struct Report {
    program: &'static str,
    objects: Vec<Object>,
}

/// The executable part of a program or library in memory.
#[derive(Debug)]
struct Object {
    name: String,
    /// The address to which the object's own address 0 is mapped.
    base: u64,
    start: u64,
    end: u64,
}

impl Report {
    fn write(&self, context: &CrashContext) -> CrashEventResult {
        let signal = FatalSignal::from(context);
        // A supervisor may keep only the last two lines, so the most useful come last.
        // Writing fails only at the end of the line, which is then truncated.
        let mut line = Line::default();
        let _cut = describe_registers(&mut line, context);
        line.write_out();
        let mut line = Line::default();
        let _cut = self.describe(&mut line, &signal, context.tid);
        line.write_out();
        let mut line = Line::default();
        let _cut = self.describe_stack(&mut line, signal.stack_pointer);
        line.write_out();
        thread::sleep(REPORT_GRACE);
        // The standard library's handler runs next: it reports a stack overflow and
        // aborts. It would ignore a signal sent by a process, so that counts as handled.
        CrashEventResult::Handled(signal.is_sent)
    }

    fn describe(&self, line: &mut Line, signal: &FatalSignal, tid: i32) -> fmt::Result {
        let now = rustix::time::clock_gettime(ClockId::Realtime);
        let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
        let mut name = [0; 32];
        let thread = thread_name(&mut name).unwrap_or("unknown");
        write!(
            line,
            "unix_ms={millis} level=ERROR event=fatal-signal program={} tid={tid} thread={thread} signal={} code={}",
            self.program, signal.number, signal.code,
        )?;
        if signal.is_sent {
            write!(line, " sender={}", signal.detail & u64::from(u32::MAX))?;
        } else {
            write!(line, " address={:#x}", signal.detail)?;
        }
        write!(line, " instruction=")?;
        self.describe_address(line, signal.instruction)?;
        describe_code(line, signal.instruction)?;
        write!(line, " stack={:#x}", signal.stack_pointer)
    }

    fn describe_address(&self, line: &mut Line, address: u64) -> fmt::Result {
        match self.object_of(address) {
            Some(object) => write!(line, "{}+{:#x}", object.name, address - object.base),
            None => write!(line, "unmapped+{address:#x}"),
        }
    }

    // Words on the stack that point into code are return addresses, along with a
    // few stale ones of earlier calls.
    fn describe_stack(&self, line: &mut Line, pointer: u64) -> fmt::Result {
        let mut bytes = [0; STACK_BYTES];
        // After an overflow, the stack pointer is on an unreadable guard page.
        let next_page = (pointer | (PAGE_BYTES - 1)).wrapping_add(1);
        let length = read_own_memory(&mut bytes, pointer)
            .or_else(|_unmapped| read_own_memory(&mut bytes, next_page))
            .unwrap_or(0);
        write!(line, "event=fatal-signal-stack frames=")?;
        let words = bytes[..length].chunks_exact(8);
        let mut written = 0;
        for word in words.map(|w| u64::from_ne_bytes(w.try_into().unwrap_or_default())) {
            if written == FRAMES_MAX {
                break;
            }
            if self.object_of(word).is_some() {
                if written > 0 {
                    write!(line, ",")?;
                }
                self.describe_address(line, word)?;
                written += 1;
            }
        }
        Ok(())
    }

    fn object_of(&self, address: u64) -> Option<&Object> {
        let contains = |o: &&Object| (o.start..o.end).contains(&address);
        self.objects.iter().find(contains)
    }
}

/// Writes the code around an address from memory, which may differ from the
/// object's file.
fn describe_code(line: &mut Line, instruction: u64) -> fmt::Result {
    write!(line, " at=")?;
    describe_memory(line, &mut [0; CODE_BYTES], instruction)?;
    write!(line, " before=")?;
    let before = instruction.wrapping_sub(CODE_BEFORE_BYTES as u64);
    describe_memory(line, &mut [0; CODE_BEFORE_BYTES], before)
}

/// Writes bytes of this process's memory, or `-` where nothing is mapped.
fn describe_memory(line: &mut Line, buffer: &mut [u8], from: u64) -> fmt::Result {
    let length = read_own_memory(buffer, from).unwrap_or(0);
    if length == 0 {
        return write!(line, "-");
    }
    for byte in &buffer[..length] {
        write!(line, "{byte:02x}")?;
    }
    Ok(())
}

/// A signal that ends the process.
#[derive(Debug)]
struct FatalSignal {
    number: u32,
    code: i32,
    /// Whether a process sent it; otherwise an instruction caused it.
    is_sent: bool,
    /// The address that could not be accessed, or the sender's process id.
    detail: u64,
    instruction: u64,
    stack_pointer: u64,
}

impl From<&CrashContext> for FatalSignal {
    fn from(context: &CrashContext) -> Self {
        let info = &context.siginfo;
        // The library copies the kernel's `siginfo_t` over this structure: bytes
        // 16 to 24 hold the address of a fault, or the id of the sender.
        let detail = u64::from(info.ssi_uid) | u64::from(info.ssi_fd.cast_unsigned()) << 32;
        let (instruction, stack_pointer) = registers(context);
        Self {
            number: info.ssi_signo,
            code: info.ssi_code,
            is_sent: info.ssi_code <= 0,
            detail,
            instruction,
            stack_pointer,
        }
    }
}

/// Returns the instruction pointer and the stack pointer.
#[cfg(target_arch = "x86_64")]
fn registers(context: &CrashContext) -> (u64, u64) {
    // The indices of RIP and RSP in the kernel's array of registers.
    let [instruction, stack] = [16, 15].map(|r| context.context.uc_mcontext.gregs[r]);
    (instruction.cast_unsigned(), stack.cast_unsigned())
}

#[cfg(target_arch = "x86_64")]
fn describe_registers(line: &mut Line, context: &CrashContext) -> fmt::Result {
    // Each with its index in the kernel's array.
    const REGISTERS: [(&str, usize); 16] = [
        ("rax", 13),
        ("rbx", 11),
        ("rcx", 14),
        ("rdx", 12),
        ("rsi", 9),
        ("rdi", 8),
        ("rbp", 10),
        ("rsp", 15),
        ("r8", 0),
        ("r9", 1),
        ("r10", 2),
        ("r11", 3),
        ("r12", 4),
        ("r13", 5),
        ("r14", 6),
        ("r15", 7),
    ];
    write!(line, "event=fatal-signal-registers")?;
    for (name, index) in REGISTERS {
        write!(
            line,
            " {name}={:#x}",
            context.context.uc_mcontext.gregs[index]
        )?;
    }
    Ok(())
}

#[cfg(target_arch = "aarch64")]
fn describe_registers(line: &mut Line, context: &CrashContext) -> fmt::Result {
    write!(line, "event=fatal-signal-registers")?;
    for (number, value) in context.context.uc_mcontext.regs.iter().enumerate() {
        write!(line, " x{number}={value:#x}")?;
    }
    Ok(())
}

#[cfg(target_arch = "aarch64")]
fn registers(context: &CrashContext) -> (u64, u64) {
    let registers = &context.context.uc_mcontext;
    (registers.pc, registers.sp)
}

/// Returns the executable mappings of this process.
fn mapped_objects() -> io::Result<Vec<Object>> {
    let maps = fs::read_to_string("/proc/self/maps")?;
    let mut objects = Vec::new();
    let mut base = (0, "");
    for mapping in maps.lines().filter_map(Mapping::parse) {
        if mapping.offset == 0 && mapping.path != base.1 {
            base = (mapping.start, mapping.path);
        }
        if mapping.is_code && mapping.path == base.1 {
            let name = Path::new(mapping.path).file_name();
            objects.push(Object {
                name: name.map_or_else(String::new, |n| n.to_string_lossy().into_owned()),
                base: base.0,
                start: mapping.start,
                end: mapping.end,
            });
        }
    }
    Ok(objects)
}

/// A line of `/proc/self/maps`, as proc(5) describes it.
#[derive(Debug)]
struct Mapping<'a> {
    start: u64,
    end: u64,
    offset: u64,
    is_code: bool,
    path: &'a str,
}

impl<'a> Mapping<'a> {
    /// Parses the mapping of a file; returns `None` for other memory.
    fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split_ascii_whitespace();
        let hex = |text| u64::from_str_radix(text, 16).ok();
        let (start, end) = fields.next()?.split_once('-')?;
        let access = fields.next()?;
        let offset = fields.next()?;
        Some(Self {
            start: hex(start)?,
            end: hex(end)?,
            offset: hex(offset)?,
            is_code: access.contains('x'),
            path: fields.nth(2)?,
        })
    }
}

/// Returns the name of the calling thread.
fn thread_name(buffer: &mut [u8]) -> Option<&str> {
    let length = read(c"/proc/thread-self/comm", buffer, 0).ok()?;
    let name = std::str::from_utf8(buffer.get(..length)?).ok()?;
    Some(name.trim_end())
}

/// Reads memory of this process up to the first unmapped address.
fn read_own_memory(buffer: &mut [u8], from: u64) -> Result<usize, Errno> {
    read(c"/proc/self/mem", buffer, from)
}

fn read(path: &CStr, buffer: &mut [u8], from: u64) -> Result<usize, Errno> {
    let flags = OFlags::RDONLY | OFlags::CLOEXEC;
    let file = rustix::fs::open(path, flags, Mode::empty())?;
    rustix::io::pread(&file, buffer, from)
}

/// A line of text in a fixed buffer on the stack.
#[derive(Debug)]
struct Line {
    bytes: [u8; LINE_BYTES],
    length: usize,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            bytes: [0; LINE_BYTES],
            length: 0,
        }
    }
}

impl Line {
    fn write_out(&mut self) {
        self.bytes[self.length.min(LINE_BYTES - 1)] = b'\n';
        let length = (self.length + 1).min(LINE_BYTES);
        // There is no way to report a failure to write to standard error.
        let _written = rustix::io::write(rustix::stdio::stderr(), &self.bytes[..length]);
    }
}

impl Write for Line {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        let room = &mut self.bytes[self.length..LINE_BYTES - 1];
        let copied = s.len().min(room.len());
        room[..copied].copy_from_slice(&s.as_bytes()[..copied]);
        self.length += copied;
        if copied == s.len() {
            Ok(())
        } else {
            Err(fmt::Error)
        }
    }
}
