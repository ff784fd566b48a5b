/* A library to load with LD_PRELOAD: calls that Linux may interrupt or cut short. SEND_SMALL tells what becomes of a send(2)
   of one to four bytes: EINTR, or SHORT, one byte goes out. RECV_EINTR=N has each N-th recv(2) fail with EINTR,
   SEND_EINTR=N each N-th send(2) of more than four bytes. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static int due(const char *name, atomic_long *calls) {
    const char *every = getenv(name);
    return every && (atomic_fetch_add(calls, 1) + 1) % atol(every) == 0;
}

ssize_t send(int socket, const void *bytes, size_t length, int flags) {
    static atomic_long calls;
    ssize_t (*next)(int, const void *, size_t, int) = (ssize_t (*)(int, const void *, size_t, int))dlsym(RTLD_NEXT, "send");
    const char *small = getenv("SEND_SMALL");
    if (small && length >= 1 && length <= 4) {
        if (strcmp(small, "SHORT") == 0)
            return next(socket, bytes, 1, flags);
        errno = EINTR;
        return -1;
    }
    if (length > 4 && due("SEND_EINTR", &calls)) {
        errno = EINTR;
        return -1;
    }
    return next(socket, bytes, length, flags);
}

ssize_t recv(int socket, void *bytes, size_t length, int flags) {
    static atomic_long calls;
    ssize_t (*next)(int, void *, size_t, int) = (ssize_t (*)(int, void *, size_t, int))dlsym(RTLD_NEXT, "recv");
    if (due("RECV_EINTR", &calls)) {
        errno = EINTR;
        return -1;
    }
    return next(socket, bytes, length, flags);
}
