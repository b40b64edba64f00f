/* clockshim.c -- a wall clock of a process under test that another process
   sets

   Preloaded (LD_PRELOAD) into a process, it takes the place of the C library's
   gettimeofday, time and clock_gettime for CLOCK_REALTIME.  They are ahead of
   the true time by the seconds that stand in the file that BW_CLOCK_FILE
   names: two numbers of type int32_t, the first for processes with an even id
   and the second for the others, so that a step can meet a part of the
   processes.  Monotonic clocks are left alone.  The soak uses it.
*/

#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const volatile int32_t *offsets_s;

static void __attribute__((constructor)) open_offsets(void)
{
    const char *path = getenv("BW_CLOCK_FILE");
    int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    void *map;

    if (fd < 0)
        return;
    map = mmap(NULL, 2 * sizeof(int32_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (map != MAP_FAILED)
        offsets_s = map;
}

static int32_t
ahead_s(void)
{
    return offsets_s != NULL ? offsets_s[getpid() & 1] : 0;
}

int
clock_gettime(clockid_t clock, struct timespec *now)
{
    int result = (int)syscall(SYS_clock_gettime, clock, now);

    if (result == 0 && clock == CLOCK_REALTIME)
        now->tv_sec += ahead_s();
    return result;
}

int
gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec real;

    (void)zone;
    clock_gettime(CLOCK_REALTIME, &real);
    now->tv_sec = real.tv_sec;
    now->tv_usec = real.tv_nsec / 1000;
    return 0;
}

time_t
time(time_t *out)
{
    struct timespec real;

    clock_gettime(CLOCK_REALTIME, &real);
    if (out != NULL)
        *out = real.tv_sec;
    return real.tv_sec;
}
