#!/usr/bin/env python3
"""Mutation test: removes one safeguard at a time and expects its test to fail.

Works on a copy of the sources in FOLDER (default: a new temporary folder). Not part of CI, because
each safeguard needs a build. Usage: test/remedies/check.py [FOLDER] [NAME ...]
"""

import pathlib
import subprocess
import sys
import tempfile

REMEDIES = [
    ("slots of a dead entry stay counted", "src/slots/slotledger.cpp",
     "held->second.expired = true;", "known.second.holders.erase(held);",
     "slots"),
    ("an expired grant is not revived", "src/slots/slotpool.cpp",
     "        known.second.limit = 0;\n", "", "slots"),
    ("a new leader waits out the longest grant", "src/slots/slotledger.cpp",
     "graceEnds_(now + times.grantLife + times.driftMargin)", "graceEnds_(now)", "slots"),
    ("a draining upstream's grants are withdrawn", "src/slots/slotledger.cpp",
     "if (!upstream.alive || upstream.announced.draining) {", "if (!upstream.alive) {",
     "live_an_upstream_that_leaves"),
    ("an exclusive attempt is over only after its lease", "src/state/leasebook.cpp",
     "return now >= graceEnds_ && (found == leasedUntil_.end() || now >= found->second);",
     "return found == found || now >= graceEnds_;", "leases"),
    ("absence proves nothing", "src/state/leasebook.cpp",
     "        verdict.stop.push_back(attempt.id);\n    }\n}",
     "        verdict.commands.emplace_back(\n"
     "            EndAttempt {work.id, attempt.id, AttemptEnd::NotRun});\n    }\n}", "leases"),
    ("an answer belongs to its attempt", "src/net/forwarder.cpp",
     "if (response[std::string {headers::attempt}] != attempt.value()) {", "if (attempt.value().empty()) {",
     "live_a_caller_gets_the_whole"),
    ("an answer that ended short is not whole", "src/net/httpclient.cpp",
     "if (error || !hasKnownEnd) {", "if (!hasKnownEnd) {", "live_a_caller_gets_the_whole"),
    ("a key joins the work it belongs to", "src/state/workledger.cpp",
     "if (known != nullptr && !mayTryAgain) {", "if (known != nullptr && mayTryAgain) {",
     "live_a_clerk"),
    ("admitted work is not yet not run", "src/state/workledger.cpp",
     "if (state == WorkState::Revoked && isProvenNotRun(*this)) {",
     "if (isProvenNotRun(*this)) {", "statemachine"),
    ("promotion compares versions", "src/state/statemachine.cpp",
     "if (current.version > command.version) {", "if (current.version.value() > ~0ULL - 1) {",
     "statemachine"),
    ("equal versions conflict", "src/state/statemachine.cpp",
     "reply.error = reply.repeated ? StateError::None : StateError::VersionConflict;",
     "environment.production->digest = command.digest;", "live_operators_who_race"),
    ("a shutdown waits for work in progress", "src/daemon/daemon.cpp",
     "if (unfinishedCount == 0 || isPastDeadline) {", "if (unfinishedCount < 1'000'000 || isPastDeadline) {", "live_a_graceful"),
    ("an entry without quorum refuses", "src/admission/admission.cpp",
     "if (!slots_.valid(now)) {", "if (!slots_.valid(now) && now == MonotonicTime {}) {",
     "admission"),
    ("a recorded job is found at its path", "src/services/graphcallhandler.cpp",
     "if (graph != nullptr && catalog.queueOfJobs(graph->spec.queue) == queue) {",
     "if (graph != nullptr && queue == nullptr) {", "queuenames"),
    ("a cancel that comes first is recorded", "src/state/graphregistry.cpp",
     "        recordEarlyCancel(command);\n", "", "earlycancels"),
    ("a step that would end late leaves less room to tasks that can wait",
     "src/cell/headroom.cpp", ": rate->second.pressingMilliCoresPerSecond)",
     ": rate->second.milliCoresPerSecond)", "headroom"),
    ("damage is found", "src/storage/recordfile.cpp",
     "if (crc32c(payload) != header.payloadChecksum) {", "if (payload.size() != header.length) {",
     "live_a_damaged"),
    ("a replica that hears its leader does not depose it", "src/consensus/consensus.cpp",
     "    if (hasLeaderContact()) {", "    if (hasLeaderContact() && now_ == MonotonicTime {}) {",
     "consensus"),
    ("a lost disk has no vote under its old identity", "src/storage/filestorage.cpp",
     "openFileStorage(const fs::path &folder, ReplicaId newIdentity)\n{",
     "openFileStorage(const fs::path &folder, ReplicaId newIdentity)\n{\n"
     "    newIdentity = ReplicaId {std::hash<std::string> {}(folder.string()) >> 12U};",
     "live_a_lost_data_folder"),
    ("a key told not run is not run by what was held up", "src/state/workledger.cpp",
     " && seen >= previousWork.endedIndex;", ";", "statemachine"),
    ("work that nobody carries is given up", "src/services/workrecovery.cpp",
     " && work->deadline > overdue;", ";", "leaderservice"),
    ("another incarnation alone ends no tasks", "src/services/cellworkers.cpp",
     "if (record.hasEndedStaleTasks || !haveLeasesExpired) {", "if (record.hasEndedStaleTasks) {", "cell"),
    ("a silent voter is replaced", "src/services/replicarepair.cpp",
     "consensus.timeSinceAck(member.id) > replaceAfter_", "consensus.timeSinceAck(member.id) > 99 * replaceAfter_",
     "replicarepair"),
    ("an image does not change", "include/crocusmill/copyonwrite.h",
     "if (value_.use_count() > 1) {", "if (value_.use_count() > 99) {", "statemachine"),
    ("what is given up gets no lease", "src/state/leasebook.cpp",
     " || givenUp_.contains(id)) {", ") {", "leases"),
    ("another process ends no exclusive attempt before its lease", "src/state/leasebook.cpp",
     "if (!work.exclusive || leaseOver(attempt.id, now)) {", "if (leaseOver(attempt.id, now) || true) {",
     "leases"),
    ("a task whose loss is decided gets no lease", "src/services/cellworkers.cpp",
     "if (isCurrent && endingTasks_.contains(key)) {",
     "if (isCurrent && endingTasks_.contains(key) && !endingTasks_.contains(key)) {", "cell"),
    ("an undecided placement is proposed again", "src/services/cell.cpp",
     "            unconfirmedPlacements_.push_back(command);\n",
     "            placingJobs_.erase(command.job);\n", "cell"),
    ("an undecided end of a task is proposed again", "src/services/cellworkers.cpp",
     "            unconfirmedEnds_.push_back(command);\n",
     "            endingTasks_.erase({command.job, command.task});\n", "cell"),
    ("an unchanged announcement is passed on in time", "src/services/announcementcache.cpp",
     "if (now - cached.forwardedAt >= forwardInterval_\n        || ", "if (", "quietupstreams"),
    ("a placement is no start", "src/state/graphregistry.cpp",
     "        task.incarnation = placement->incarnation;\n",
     "        task.incarnation = placement->incarnation;\n        markStarted(graph);\n",
     "pendingjobs"),
    ("an undecided record of starts is proposed again", "src/services/runstarts.cpp",
     "                    self->noteStart(id);\n", "                    continue;\n",
     "pendingjobs"),
    ("a proposal at a reused place is not forgotten", "src/services/proposals.cpp",
     "        replacedHandler(ConsensusError::NotLeader);\n", "", "proposals"),
]


def run(command, folder):
    return subprocess.run(command, cwd=folder, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          text=True, check=False)


def check(name, file, remedy, without, test, source, build):
    path = source / file
    original = path.read_text()
    if original.count(remedy) != 1:
        return f"not run: the remedy is not found once in {file}"
    path.write_text(original.replace(remedy, without))
    try:
        built = run(["ninja", "-C", str(build), "-j", "3"], source)
        if built.returncode != 0:
            return "not run: does not build without it"
        tested = run(["ctest", "--test-dir", str(build), "-R", f"^{test}", "--timeout", "120"],
                     source)
        return "fails without it" if tested.returncode != 0 else "PASSES WITHOUT IT"
    finally:
        path.write_text(original)


def main():
    root = pathlib.Path(__file__).resolve().parents[2]
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else tempfile.mkdtemp())
    wanted = sys.argv[2:]
    source, build = folder / "source", folder / "build"
    source.mkdir(parents=True, exist_ok=True)
    run(["sh", "-c", f"git ls-files --cached --others --exclude-standard"
         f" | tar -cf - -T - | tar -xf - -C {source}"], root)
    run(["support/build.sh", str(build)], source)
    missed = 0
    for name, file, remedy, without, test in REMEDIES:
        if wanted and name not in wanted:
            continue
        verdict = check(name, file, remedy, without, test, source, build)
        missed += 0 if verdict == "fails without it" else 1
        print(f"{name}: {test}: {verdict}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
