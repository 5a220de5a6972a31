#include <sys/signalfd.h>

#include <signal.h>
#include <stddef.h>

#include "kf/signals.h"

static sigset_t
make_signal_set(const int *signals)
{
	sigset_t set;

	sigemptyset(&set);
	for (; *signals != 0; signals++)
		sigaddset(&set, *signals);
	return set;
}

void
kf_signals_block(const int *signals)
{
	sigset_t set = make_signal_set(signals);

	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

kf_status_t
kf_signals_open(const int *signals, int *fd)
{
	sigset_t set = make_signal_set(signals);

	*fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return *fd < 0 ? kf_status_set(KF_ERR_IO, "cannot create signalfd")
		       : KF_OK;
}
