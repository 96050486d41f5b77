/* Bookings at most once: one home incarnation, a backup for each of its two epochs, an upstream, and relays.
 *
 * The network is a set of messages that only grows: whatever was sent may arrive at any time, any number of times, in
 * any order, or never. That covers loss, duplication, delay and pauses of any length. A call to an upstream is the
 * exception: it is one stream, so it arrives once or never. Copies of a request reach the home or a backup at any time
 * and through any relay, so callers and relays need no state of their own. A backup suspects the home whenever it
 * likes, rightly or not.
 *
 * KEYS: number of keys; the last one is of epoch 1, the others of epoch 0.
 * Each other macro removes one guard (see check.sh); the model must then fail. WITNESS_* assert that something does not
 * happen which does, so that a model in which nothing happens is noticed. */

#ifndef KEYS
#define KEYS 2
#endif
#define EPOCHS 2
#define EPOCH_OF(k) ((k) == KEYS - 1 -> 1 : 0)
#define BACKUP_OF(k) EPOCH_OF(k)

mtype = { None, Announced, Started, Answered, NotRun, Unknown };

/* Home: its records are lost by a crash. */
bool homeAlive = true;
mtype record[KEYS] = None;
bool epochOpen[EPOCHS] = true;
bool epochDropped[EPOCHS];

/* Backups: all of this is lost by a restart. */
bool backupRestarted[EPOCHS];
bool held[KEYS];
bool answerHeld[KEYS];
bool refusalHeld[KEYS];
bool sealed[EPOCHS];
bool forgotten[EPOCHS];

/* Messages that were sent. */
bool intentSent[KEYS];
bool acknowledged[KEYS];
bool answerPassed[KEYS];
bool refusalPassed[KEYS];
bool answerReceived[KEYS];
bool shedReceived[KEYS];
byte calls[KEYS];

/* History that the properties speak about. */
byte runs[KEYS];
bool saidNotRun[KEYS];
bool saidAnswer[KEYS];
bool sealedWithout[KEYS];

inline pickKey(k) { select(k : 0 .. KEYS - 1) }

inline sayNotRun(k)
{
    saidNotRun[k] = true;
#ifdef WITNESS_NOT_RUN_WITH_INTENT
    assert(!held[k]);
#endif
    assert(runs[k] == 0)
}

inline sayAnswer(k)
{
    assert(runs[k] == 1);
#ifdef WITNESS_ANSWER_AFTER_SEAL
    assert(!sealed[EPOCH_OF(k)]);
#endif
    saidAnswer[k] = true
}

inline execute(k)
{
    runs[k]++;
    assert(runs[k] == 1);
    assert(!saidNotRun[k])
}

inline start(k)
{
    assert(!sealedWithout[k]);
    record[k] = Started;
    calls[k]++
}

inline refuse(k)
{
#ifdef NO_TOMBSTONE
    record[k] = None;
#else
    record[k] = NotRun;
#endif
    refusalPassed[k] = true;
    sayNotRun(k)
}

/* A copy of the request reaches the home, directly or through a relay. */
inline receive(k)
{
    if
    :: epochDropped[EPOCH_OF(k)] -> skip /* unknown */
    :: !epochDropped[EPOCH_OF(k)] && record[k] == None && epochOpen[EPOCH_OF(k)] ->
        record[k] = Announced;
        intentSent[k] = true;
#ifdef START_BEFORE_ACKNOWLEDGEMENT
        start(k)
#endif
    :: !epochDropped[EPOCH_OF(k)] && record[k] == None && !epochOpen[EPOCH_OF(k)] -> sayNotRun(k)
    :: !epochDropped[EPOCH_OF(k)] && record[k] == NotRun -> sayNotRun(k)
    :: !epochDropped[EPOCH_OF(k)] && record[k] == Answered -> sayAnswer(k)
    :: else -> skip /* attached, or unknown */
    fi
}

#define IN_FLIGHT(k) (record[k] == Announced || record[k] == Started)
/* With three keys, key 1 is the second one of epoch 0. */
#if KEYS == 3
#define MIDDLE 1
#else
#define MIDDLE 0
#endif
#define mayDrop(e) (!epochOpen[e] && \
    ((e) == 1 -> !IN_FLIGHT(KEYS - 1) : !IN_FLIGHT(0) && !IN_FLIGHT(MIDDLE)))

inline drop(e)
{
    epochDropped[e] = true;
    if
    :: (e) == 1 -> record[KEYS - 1] = None
    :: else -> record[0] = None; record[MIDDLE] = None
    fi
}

inline forgetRecords()
{
    record[0] = None;
    record[MIDDLE] = None;
    record[KEYS - 1] = None
}

/* The backup takes an intent. A restarted one is another incarnation than the key names. */
inline acknowledge(k)
{
    if
    :: !backupRestarted[BACKUP_OF(k)] && !sealed[EPOCH_OF(k)] && !forgotten[EPOCH_OF(k)] ->
        held[k] = true;
        acknowledged[k] = true
#ifdef EPOCH_KEPT_WITH_ANOTHER_BACKUP
    :: true -> acknowledged[k] = true
#endif
    :: else -> skip
    fi
}

inline seal(e)
{
    sealed[e] = true;
    if
    :: (e) == 1 -> sealedWithout[KEYS - 1] = sealedWithout[KEYS - 1] || !held[KEYS - 1]
    :: else ->
        sealedWithout[0] = sealedWithout[0] || !held[0];
        sealedWithout[MIDDLE] = sealedWithout[MIDDLE] || !held[MIDDLE]
    fi
}

/* Somebody who cannot reach the home asks the backup, which suspects the home too. */
inline resolve(k)
{
    if
#ifndef RESTARTED_BACKUP_ANSWERS_AS_THE_OLD_ONE
    :: backupRestarted[BACKUP_OF(k)] -> skip /* unknown */
#endif
    :: forgotten[EPOCH_OF(k)] -> skip /* unknown */
    :: else ->
#ifndef NO_SEAL
        if
        :: !sealed[EPOCH_OF(k)] -> seal(EPOCH_OF(k))
        :: else -> skip
        fi;
#endif
        if
        :: held[k] && answerHeld[k] -> sayAnswer(k)
        :: held[k] && refusalHeld[k] -> sayNotRun(k)
        :: held[k] && !answerHeld[k] && !refusalHeld[k] -> skip /* unknown */
        :: !held[k] -> sayNotRun(k)
        fi
    fi
}

inline clearHeld(e)
{
    if
    :: (e) == 1 -> held[KEYS - 1] = false; answerHeld[KEYS - 1] = false; refusalHeld[KEYS - 1] = false
    :: else ->
        held[0] = false; answerHeld[0] = false; refusalHeld[0] = false;
        held[MIDDLE] = false; answerHeld[MIDDLE] = false; refusalHeld[MIDDLE] = false
    fi
}

/* The retention time is over. Only the floor of forgotten epochs stays. */
inline forget(e)
{
#ifdef NO_FLOOR
    sealed[e] = false;
#else
    forgotten[e] = true;
#endif
    clearHeld(e)
}

inline loseBackup(b)
{
    backupRestarted[b] = true;
    sealed[b] = false;
    forgotten[b] = false;
    clearHeld(b)
}

active proctype Home()
{
    byte k;
    do
    :: atomic {
        pickKey(k);
        if
        :: homeAlive -> receive(k)
#ifdef LATE_ACKNOWLEDGEMENT_STARTS
        :: homeAlive && acknowledged[k] && (record[k] == Announced || record[k] == NotRun) -> start(k)
#else
        :: homeAlive && acknowledged[k] && record[k] == Announced -> start(k)
#endif
        :: homeAlive && record[k] == Announced -> /* no acknowledgement in time: the home closes the epoch */
            refuse(k);
            epochOpen[EPOCH_OF(k)] = false
        :: homeAlive && record[k] == Announced -> refuse(k) /* too large, or the deadline has passed */
        :: homeAlive && record[k] == Started && answerReceived[k] -> record[k] = Answered; answerPassed[k] = true
        :: homeAlive && record[k] == Started && shedReceived[k] -> refuse(k)
        :: homeAlive && record[k] == Started -> record[k] = Unknown /* connection lost, or no answer in time */
        :: homeAlive -> epochOpen[EPOCH_OF(k)] = false /* age, no room, backup suspected, planned stop */
        :: homeAlive && mayDrop(EPOCH_OF(k)) -> drop(EPOCH_OF(k))
        :: homeAlive -> homeAlive = false; forgetRecords()
#ifdef RESTARTED_HOME_TAKES_OLD_KEYS
        :: !homeAlive -> homeAlive = true
#endif
        fi;
        k = 0 }
    od
}

active proctype Upstream()
{
    byte k;
    do
    :: atomic {
        pickKey(k);
        if
        :: calls[k] > 0 -> calls[k]--; execute(k); answerReceived[k] = true
        :: calls[k] > 0 -> calls[k]--; execute(k) /* ran it, and crashed or lost the answer */
        :: calls[k] > 0 -> calls[k]--; shedReceived[k] = true
        :: else -> skip
        fi;
        k = 0 }
    od
}

/* Both backups; each message names its key, and the key names the backup. */
active proctype Backups()
{
    byte k;
    do
    :: atomic {
        pickKey(k);
        if
        :: intentSent[k] -> acknowledge(k)
        :: answerPassed[k] && held[k] -> answerHeld[k] = true
        :: refusalPassed[k] && held[k] -> refusalHeld[k] = true
        :: true -> resolve(k) /* "true" keeps the inner "else" apart from the outer guards */
        :: forget(EPOCH_OF(k))
        :: !backupRestarted[BACKUP_OF(k)] -> loseBackup(BACKUP_OF(k))
        fi;
        k = 0 }
    od
}

ltl runsAtMostOnce { [] (runs[0] <= 1 && runs[KEYS - 1] <= 1) }
ltl notRunIsTrueAndFinal { [] (!(saidNotRun[0] && runs[0] > 0) && !(saidNotRun[KEYS - 1] && runs[KEYS - 1] > 0)) }
ltl sealedEpochStartsNothing { [] (!(sealedWithout[0] && runs[0] > 0) && !(sealedWithout[KEYS - 1] && runs[KEYS - 1] > 0)) }
