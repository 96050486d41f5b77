/* Model of at-most-once bookings: one incarnation of a home, a backup for each of its two epochs, an upstream, and
 * relays.
 *
 * The network is a set of sent messages that only grows. Each message may arrive at any time, any number of times, in
 * any order, or never, which covers loss, duplication, delay and pauses of any length. A call to an upstream is the
 * exception: it uses a single stream, so it arrives once or never. Copies of a request may reach the home or a backup
 * at any time and through any relay, so callers and relays have no state. A backup may suspect the home at any time,
 * whether or not the home has failed.
 *
 * KEYS is the number of keys. The last key belongs to epoch 1, the others to epoch 0.
 * Each other macro removes one guard (see check.sh), and the model must then fail. The WITNESS_* macros assert that
 * certain reachable states are not reached, which detects a model in which nothing happens. */

#ifndef KEYS
#define KEYS 2
#endif
#define EPOCHS 2
#define EPOCH_OF(k) ((k) == KEYS - 1 -> 1 : 0)
#define BACKUP_OF(k) EPOCH_OF(k)

mtype = { None, Announced, Started, Answered, NotRun, Unknown };

/* State of the home. A crash loses its records. */
bool homeAlive = true;
mtype record[KEYS] = None;
bool epochOpen[EPOCHS] = true;
bool epochDropped[EPOCHS];

/* State of the backups. A restart loses all of it. */
bool backupRestarted[EPOCHS];
bool intentStored[KEYS];
bool answerStored[KEYS];
bool refusalStored[KEYS];
bool epochSealed[EPOCHS];
bool epochExpired[EPOCHS];

/* Messages that have been sent. */
bool intentSent[KEYS];
bool acknowledged[KEYS];
bool answerSent[KEYS];
bool refusalSent[KEYS];
bool answerReceived[KEYS];
bool shedReceived[KEYS];
byte pendingCalls[KEYS];

/* History variables for the assertions and the formulas. */
byte runs[KEYS];
bool reportedNotRun[KEYS];
bool reportedAnswer[KEYS];
bool sealedWithoutIntent[KEYS];

inline pickKey(k) { select(k : 0 .. KEYS - 1) }

inline reportNotRun(k)
{
    reportedNotRun[k] = true;
#ifdef WITNESS_NOT_RUN_WITH_INTENT
    assert(!intentStored[k]);
#endif
    assert(runs[k] == 0)
}

inline reportAnswer(k)
{
    assert(runs[k] == 1);
#ifdef WITNESS_ANSWER_AFTER_SEAL
    assert(!epochSealed[EPOCH_OF(k)]);
#endif
    reportedAnswer[k] = true
}

inline execute(k)
{
    runs[k]++;
    assert(runs[k] == 1);
    assert(!reportedNotRun[k])
}

inline start(k)
{
    assert(!sealedWithoutIntent[k]);
    record[k] = Started;
    pendingCalls[k]++
}

inline refuse(k)
{
#ifdef NO_TOMBSTONE
    record[k] = None;
#else
    record[k] = NotRun;
#endif
    refusalSent[k] = true;
    reportNotRun(k)
}

/* The home receives a copy of the request, directly or through a relay. */
inline receiveRequest(k)
{
    if
    :: epochDropped[EPOCH_OF(k)] -> skip /* unknown */
    :: !epochDropped[EPOCH_OF(k)] && record[k] == None && epochOpen[EPOCH_OF(k)] ->
        record[k] = Announced;
        intentSent[k] = true;
#ifdef START_BEFORE_ACKNOWLEDGEMENT
        start(k)
#endif
    :: !epochDropped[EPOCH_OF(k)] && record[k] == None && !epochOpen[EPOCH_OF(k)] -> reportNotRun(k)
    :: !epochDropped[EPOCH_OF(k)] && record[k] == NotRun -> reportNotRun(k)
    :: !epochDropped[EPOCH_OF(k)] && record[k] == Answered -> reportAnswer(k)
    :: else -> skip /* attached to the running request, or unknown */
    fi
}

#define IN_FLIGHT(k) (record[k] == Announced || record[k] == Started)
/* With three keys, key 1 is the second key of epoch 0. */
#if KEYS == 3
#define MIDDLE 1
#else
#define MIDDLE 0
#endif
#define mayDropEpoch(e) (!epochOpen[e] && \
    ((e) == 1 -> !IN_FLIGHT(KEYS - 1) : !IN_FLIGHT(0) && !IN_FLIGHT(MIDDLE)))

inline dropEpoch(e)
{
    epochDropped[e] = true;
    if
    :: (e) == 1 -> record[KEYS - 1] = None
    :: else -> record[0] = None; record[MIDDLE] = None
    fi
}

inline clearRecords()
{
    record[0] = None;
    record[MIDDLE] = None;
    record[KEYS - 1] = None
}

/* The backup receives an intent. After a restart, its incarnation differs from the one in the key. */
inline acknowledge(k)
{
    if
    :: !backupRestarted[BACKUP_OF(k)] && !epochSealed[EPOCH_OF(k)] && !epochExpired[EPOCH_OF(k)] ->
        intentStored[k] = true;
        acknowledged[k] = true
#ifdef EPOCH_KEPT_WITH_ANOTHER_BACKUP
    :: true -> acknowledged[k] = true
#endif
    :: else -> skip
    fi
}

inline sealEpoch(e)
{
    epochSealed[e] = true;
    if
    :: (e) == 1 -> sealedWithoutIntent[KEYS - 1] = sealedWithoutIntent[KEYS - 1] || !intentStored[KEYS - 1]
    :: else ->
        sealedWithoutIntent[0] = sealedWithoutIntent[0] || !intentStored[0];
        sealedWithoutIntent[MIDDLE] = sealedWithoutIntent[MIDDLE] || !intentStored[MIDDLE]
    fi
}

/* A process that cannot reach the home queries the backup, which suspects the home as well. */
inline resolve(k)
{
    if
#ifndef RESTARTED_BACKUP_ANSWERS_AS_THE_OLD_ONE
    :: backupRestarted[BACKUP_OF(k)] -> skip /* unknown */
#endif
    :: epochExpired[EPOCH_OF(k)] -> skip /* unknown */
    :: else ->
#ifndef NO_SEAL
        if
        :: !epochSealed[EPOCH_OF(k)] -> sealEpoch(EPOCH_OF(k))
        :: else -> skip
        fi;
#endif
        if
        :: intentStored[k] && answerStored[k] -> reportAnswer(k)
        :: intentStored[k] && refusalStored[k] -> reportNotRun(k)
        :: intentStored[k] && !answerStored[k] && !refusalStored[k] -> skip /* unknown */
        :: !intentStored[k] -> reportNotRun(k)
        fi
    fi
}

inline clearStored(e)
{
    if
    :: (e) == 1 -> intentStored[KEYS - 1] = false; answerStored[KEYS - 1] = false; refusalStored[KEYS - 1] = false
    :: else ->
        intentStored[0] = false; answerStored[0] = false; refusalStored[0] = false;
        intentStored[MIDDLE] = false; answerStored[MIDDLE] = false; refusalStored[MIDDLE] = false
    fi
}

/* The retention time has passed. Only the floor below which epochs have expired is kept. */
inline expireEpoch(e)
{
#ifdef NO_FLOOR
    epochSealed[e] = false;
#else
    epochExpired[e] = true;
#endif
    clearStored(e)
}

inline restartBackup(b)
{
    backupRestarted[b] = true;
    epochSealed[b] = false;
    epochExpired[b] = false;
    clearStored(b)
}

active proctype Home()
{
    byte k;
    do
    :: atomic {
        pickKey(k);
        if
        :: homeAlive -> receiveRequest(k)
#ifdef LATE_ACKNOWLEDGEMENT_STARTS
        :: homeAlive && acknowledged[k] && (record[k] == Announced || record[k] == NotRun) -> start(k)
#else
        :: homeAlive && acknowledged[k] && record[k] == Announced -> start(k)
#endif
        :: homeAlive && record[k] == Announced -> /* acknowledgement timed out: the home closes the epoch */
            refuse(k);
            epochOpen[EPOCH_OF(k)] = false
        :: homeAlive && record[k] == Announced -> refuse(k) /* request too large, or deadline passed */
        :: homeAlive && record[k] == Started && answerReceived[k] -> record[k] = Answered; answerSent[k] = true
        :: homeAlive && record[k] == Started && shedReceived[k] -> refuse(k)
        :: homeAlive && record[k] == Started -> record[k] = Unknown /* connection lost, or answer timed out */
        :: homeAlive -> epochOpen[EPOCH_OF(k)] = false /* age, lack of space, suspected backup or planned stop */
        :: homeAlive && mayDropEpoch(EPOCH_OF(k)) -> dropEpoch(EPOCH_OF(k))
        :: homeAlive -> homeAlive = false; clearRecords()
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
        :: pendingCalls[k] > 0 -> pendingCalls[k]--; execute(k); answerReceived[k] = true
        :: pendingCalls[k] > 0 -> pendingCalls[k]--; execute(k) /* runs the request, then crashes or loses the answer */
        :: pendingCalls[k] > 0 -> pendingCalls[k]--; shedReceived[k] = true
        :: else -> skip
        fi;
        k = 0 }
    od
}

/* Both backups. Each message contains its key, and the key names the backup. */
active proctype Backups()
{
    byte k;
    do
    :: atomic {
        pickKey(k);
        if
        :: intentSent[k] -> acknowledge(k)
        :: answerSent[k] && intentStored[k] -> answerStored[k] = true
        :: refusalSent[k] && intentStored[k] -> refusalStored[k] = true
        :: true -> resolve(k) /* "true" keeps the inner "else" separate from the outer guards */
        :: expireEpoch(EPOCH_OF(k))
        :: !backupRestarted[BACKUP_OF(k)] -> restartBackup(BACKUP_OF(k))
        fi;
        k = 0 }
    od
}

ltl runsAtMostOnce { [] (runs[0] <= 1 && runs[KEYS - 1] <= 1) }
ltl notRunIsTrueAndFinal { [] (!(reportedNotRun[0] && runs[0] > 0) && !(reportedNotRun[KEYS - 1] && runs[KEYS - 1] > 0)) }
ltl sealedEpochStartsNothing { [] (!(sealedWithoutIntent[0] && runs[0] > 0) && !(sealedWithoutIntent[KEYS - 1] && runs[KEYS - 1] > 0)) }
