//! Settings of the C library's memory allocator. No I/O.
//!
//! This is a crate of its own because calling the C library takes unsafe code, which the program forbids.

/// Blocks of this many bytes and more are mapped on their own.
const MAPPED_BLOCK_BYTES: libc::c_int = 16 * 1024;

/// Makes the allocator map each large block on its own, and unmap it when it is freed (`M_MMAP_THRESHOLD` of
/// mallopt(3)). Blocks of many sizes that come and go would otherwise leave gaps in the heap, so that the
/// process is larger than all that it holds. Returns whether the allocator has such a setting and took it.
///
/// Call it before other threads start: what is allocated already stays where it is.
pub fn map_large_blocks() -> bool {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: mallopt(3) takes two integers and changes only the allocator's own settings.
        unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) == 1 }
    }
    #[cfg(not(target_env = "gnu"))]
    {
        false
    }
}
