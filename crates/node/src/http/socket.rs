//! A TCP connection that notices when its peer leaves, also while nothing is read from it.

use std::{
    io::{self, IoSlice},
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// A handle to a connection; clones share it.
#[derive(Clone, Debug)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Shares a connection. One of its handles may read and write.
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Arc::new(stream))
    }

    /// Waits until the peer has closed or reset the connection. Unread bytes before its end don't
    /// matter.
    pub async fn closed(&self) {
        // Readiness to read would include unread bytes; this interest has the end only, as no
        // urgent data is registered for. It fails when the runtime ends.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }

    /// Writes as many bytes as fit at once.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.0.try_write(bytes)
    }

    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let mut has_read = false;
        let drained = self.0.try_io(Interest::READABLE, || {
            let read = self.0.try_read_buf(buffer)?;
            has_read = true;
            // A read that doesn't fill the buffer has drained the socket. Saying so saves the next
            // read a system call.
            match read > 0 && buffer.remaining() > 0 {
                true => Err(io::ErrorKind::WouldBlock.into()),
                false => Ok(()),
            }
        });
        if has_read { Ok(()) } else { drained }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.try_read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The kernel sends what was written.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
