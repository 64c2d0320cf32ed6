//! Odd frames on links: each is an error in bounded time, memory and stack, never a panic.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::thread;

use proptest::prelude::*;
use trestleknot_lib::codec::{MAX_FRAME_BYTES, decode_value, encode_value};
use trestleknot_lib::run_message::{AgentNews, AgentPacket, EntryPacket, Packet};

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(0) };
    static PEAK: Cell<usize> = const { Cell::new(0) };
}

/// Measures the memory that each thread holds.
struct MeasuringAllocator;

// SAFETY: All calls are passed on to the system's allocator.
unsafe impl GlobalAlloc for MeasuringAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = ALLOCATED.get().wrapping_add(layout.size());
        ALLOCATED.set(held);
        PEAK.set(PEAK.get().max(held));
        // SAFETY: The caller guarantees the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED.set(ALLOCATED.get().saturating_sub(layout.size()));
        // SAFETY: The caller guarantees the same.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: MeasuringAllocator = MeasuringAllocator;

/// Stack of the decoding thread. Half of what the standard library gives to a thread.
const STACK_BYTES: usize = 1 << 20;
/// Most memory that decoding a short frame may take.
const MAX_DECODING_BYTES: usize = 4 << 20;

/// Decodes a frame on a small stack. Returns whether it is a packet and how much memory that took.
fn decode(bytes: Vec<u8>) -> (bool, usize) {
    let decoding = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let before = ALLOCATED.get();
            PEAK.set(before);
            let is_packet = decode_value::<Packet>(&bytes).is_ok();
            (is_packet, PEAK.get() - before)
        });
    decoding.expect("a thread").join().expect("no panic")
}

/// CBOR items that nest deeply or state lengths far beyond the frame.
fn odd_items() -> Vec<(&'static str, Vec<u8>)> {
    let length = |head: u8, length: u64| [&[head | 27][..], &length.to_be_bytes()].concat();
    let mut items = vec![
        ("nested lists", [0x81].repeat(50_000)),
        (
            "nested lists as large as a frame",
            [0x81].repeat(MAX_FRAME_BYTES),
        ),
        ("nested lists without a length", [0x9f].repeat(50_000)),
        ("nested maps", [0xa1, 0x01].repeat(50_000)),
        ("nested tags", [0xc1].repeat(50_000)),
        (
            "nested tags as large as a frame",
            [0xc1].repeat(MAX_FRAME_BYTES),
        ),
        ("parts of a text without a length", [0x7f].repeat(50_000)),
        (
            "a large number",
            [&[0xc2, 0x59, 0x13, 0x88][..], &[0xff; 5_000]].concat(),
        ),
        ("an infinite number", vec![0xf9, 0x7c, 0x00]),
        ("a reserved head", vec![0xfc]),
        ("a break", vec![0xff]),
    ];
    for many in [1 << 32, u64::MAX, u64::MAX / 2] {
        items.push(("a long byte string", length(0x40, many)));
        items.push(("a long text", length(0x60, many)));
        items.push(("a long list", length(0x80, many)));
        items.push(("a long map", length(0xa0, many)));
        items.push(("a large positive number", length(0x00, many)));
        items.push(("a large negative number", length(0x20, many)));
    }
    items
}

fn text(text: &str) -> Vec<u8> {
    encode_value(&text)
}

/// Frames with an odd item alone, as the packet and as each of its fields.
fn odd_frames(odd: &[u8]) -> Vec<Vec<u8>> {
    let mut frames = vec![odd.to_vec()];
    for kind in ["A", "E", "P"] {
        let packet = [&[0xa1][..], &text(kind)].concat();
        frames.push([&packet[..], odd].concat());
        for field in ["t", "f", "s", "h", "n", "l", "w", "o", "k", "unknown"] {
            frames.push([&packet[..], &[0xa1], &text(field), odd].concat());
            // In a list of news or orders, as the content of each.
            for inner in ["H", "T", "E", "W", "S", "K", "N", "R"] {
                let item = [&[0x81, 0xa1][..], &text(inner), odd].concat();
                frames.push([&packet[..], &[0xa1], &text(field), &item].concat());
            }
        }
    }
    frames
}

// Guards against a frame that ends the process: by its stack, its memory or a panic.
#[test]
fn test_decode_odd_frames_is_an_error_in_bounded_memory() {
    for (name, odd) in odd_items() {
        // The largest ones are decoded alone, to keep the test short.
        let frames = match odd.len() {
            0..100_000 => odd_frames(&odd),
            _ => vec![odd],
        };
        for frame in frames {
            let (is_packet, memory) = decode(frame);
            assert!(!is_packet, "{name}");
            assert!(memory <= MAX_DECODING_BYTES, "{name}: {memory} bytes");
        }
    }
}

fn packets() -> Vec<Vec<u8>> {
    let agent = AgentPacket {
        clock: u64::MAX,
        free: Default::default(),
        starts_seen: u64::MAX,
        health: Default::default(),
        news: vec![AgentNews::Leaving; 3],
    };
    let entry = EntryPacket {
        lease_until: u64::MAX,
        store_heard: 0,
        waiting: u32::MAX,
        orders: Vec::new(),
    };
    vec![
        encode_value(&Packet::FromAgent(agent)),
        encode_value(&Packet::FromEntry(entry)),
    ]
}

// Guards against the recursion limit or the memory bound refusing what processes really send.
#[test]
fn test_decode_packets_with_the_largest_numbers() {
    for packet in packets() {
        assert!(decode(packet).0);
    }
}

proptest! {
    // Guards against any splice of odd items and packets that ends the process.
    #[test]
    fn test_decode_generated_frames_never_panics_or_exhausts_memory(
        choice in any::<prop::sample::Index>(),
        odd in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        depth in 0..3_000_usize,
        is_replaced: bool,
    ) {
        let mut frame = choice.get(&packets()).clone();
        let items = odd_items();
        let (_, odd) = odd.get(&items);
        let at = at.index(frame.len());
        let odd = [&[0x81].repeat(depth)[..], &odd[..odd.len().min(10_000)]].concat();
        let end = if is_replaced { frame.len() } else { at };
        frame.splice(at..end, odd);
        let (_, memory) = decode(frame);
        prop_assert!(memory <= MAX_DECODING_BYTES, "{} bytes", memory);
    }
}
