//! Bounds the memory of what others send, by kind. See `docs/design/memory.md`.

mod byte_buffer;
mod held_memory;
mod memory_kind;
mod shared_memory;

pub(crate) use byte_buffer::ByteBuffer;
pub(crate) use held_memory::HeldMemory;
pub(crate) use memory_kind::MemoryKind;
pub(crate) use shared_memory::SharedMemory;
