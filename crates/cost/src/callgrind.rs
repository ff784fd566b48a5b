//! Tells callgrind which instructions to count.
//!
//! Callgrind infers calls and returns from the machine code to attribute instructions to callers, and on
//! arm64 it misses returns. Toggling its collection around the measured code needs no such inference. Outside
//! of valgrind a client request has no effect. See "The Client Request mechanism" in valgrind's manual.

/// The client request that starts or stops the collection of callgrind (`CALLGRIND_TOGGLE_COLLECT`).
const TOGGLE_COLLECT: usize = ((b'C' as usize) << 24 | (b'T' as usize) << 16) + 2;

/// Runs `work`; its instructions are counted if `counts` is set and callgrind runs with
/// `--collect-atstart=no`.
pub fn counted<T>(counts: bool, work: impl FnOnce() -> T) -> T {
    if !counts {
        return work();
    }
    toggle_collect();
    let result = work();
    toggle_collect();
    result
}

fn toggle_collect() {
    // The code of a request and its five arguments.
    client_request(&[TOGGLE_COLLECT, 0, 0, 0, 0, 0]);
}

#[cfg(target_arch = "x86_64")]
fn client_request(request: &[usize; 6]) {
    // SAFETY: the rotations of rdi add up to 128 bits and the exchange is one of a register with itself, so
    // that only rdx, which valgrind sets to the result, may change.
    unsafe {
        std::arch::asm!(
            "rol rdi, 3",
            "rol rdi, 13",
            "rol rdi, 61",
            "rol rdi, 51",
            "xchg rbx, rbx",
            in("rax") request.as_ptr(),
            inout("rdx") 0usize => _,
        );
    }
}

#[cfg(target_arch = "aarch64")]
fn client_request(request: &[usize; 6]) {
    // SAFETY: the rotations of x12 add up to 128 bits and the last instruction combines a register with
    // itself, so that only x3, which valgrind sets to the result, may change.
    unsafe {
        std::arch::asm!(
            "ror x12, x12, #3",
            "ror x12, x12, #13",
            "ror x12, x12, #51",
            "ror x12, x12, #61",
            "orr x10, x10, x10",
            in("x4") request.as_ptr(),
            inout("x3") 0usize => _,
        );
    }
}
