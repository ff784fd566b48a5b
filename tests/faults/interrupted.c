/* For LD_PRELOAD: interrupts calls or cuts them short, as Linux may. SEND_SMALL=EINTR makes each send(2) of one to four
   bytes fail, SEND_SMALL=SHORT makes it send one byte. RECV_EINTR=N makes each N-th recv(2) fail with EINTR,
   SEND_EINTR=N each N-th send(2) of more than four bytes. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static int is_nth_call(const char *name, atomic_long *calls) {
    const char *every = getenv(name);
    return every && (atomic_fetch_add(calls, 1) + 1) % atol(every) == 0;
}

ssize_t send(int socket, const void *bytes, size_t length, int flags) {
    static atomic_long calls;
    ssize_t (*next)(int, const void *, size_t, int) = (ssize_t (*)(int, const void *, size_t, int))dlsym(RTLD_NEXT, "send");
    const char *mode = getenv("SEND_SMALL");
    if (mode && length >= 1 && length <= 4) {
        if (strcmp(mode, "SHORT") == 0)
            return next(socket, bytes, 1, flags);
        errno = EINTR;
        return -1;
    }
    if (length > 4 && is_nth_call("SEND_EINTR", &calls)) {
        errno = EINTR;
        return -1;
    }
    return next(socket, bytes, length, flags);
}

ssize_t recv(int socket, void *bytes, size_t length, int flags) {
    static atomic_long calls;
    ssize_t (*next)(int, void *, size_t, int) = (ssize_t (*)(int, void *, size_t, int))dlsym(RTLD_NEXT, "recv");
    if (is_nth_call("RECV_EINTR", &calls)) {
        errno = EINTR;
        return -1;
    }
    return next(socket, bytes, length, flags);
}
