use super::*;
use bytes::Buf;

/// Guards memory: consecutive reads share one buffer, also if each consumes a part of its capacity.
#[test]
fn consecutive_reads_share_one_buffer() {
    let buffers = ReadBuffers::default();
    for _ in 0..100 {
        let mut buffer = buffers.lend();
        assert!(buffer.is_empty() && buffer.capacity() >= READ_BYTES);
        buffer.extend_from_slice(&[0; 100]);
        buffer.advance(90);
        buffers.give_back(buffer);
        assert_eq!(buffers.pool().len(), 1);
    }
}

/// Guards memory after many simultaneous reads, and after a long line.
#[test]
fn few_buffers_are_kept_and_none_that_grew() {
    let buffers = ReadBuffers::default();
    let lent: Vec<BytesMut> = (0..100).map(|_| buffers.lend()).collect();
    lent.into_iter().for_each(|buffer| buffers.give_back(buffer));
    assert_eq!(buffers.pool().len(), MAX_POOLED);
    let mut grown = buffers.lend();
    grown.extend_from_slice(&[0; 2 * READ_BYTES]);
    buffers.give_back(grown);
    assert_eq!(buffers.pool().len(), MAX_POOLED - 1);
}
