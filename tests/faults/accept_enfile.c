/* For LD_PRELOAD: the first ACCEPT_ENFILE calls of accept4(2) that would return a connection fail with ENFILE instead,
   as they do while the whole system is out of files. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static int left = -1;
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (left < 0) {
        const char *value = getenv("ACCEPT_ENFILE");
        left = value ? atoi(value) : 0;
        next = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    }
    struct pollfd waiting = {.fd = socket, .events = POLLIN};
    if (left > 0 && poll(&waiting, 1, 0) == 1) {
        left--;
        errno = ENFILE;
        return -1;
    }
    return next(socket, address, length, flags);
}
