"""Writes the seeds of the fuzz targets to fuzz/corpus: documents of examples/, and packed messages.

Run in the root of the repository. Regression inputs, named crash-*, are left alone.
"""
import json
import pathlib

ROOT = pathlib.Path('fuzz/corpus')


def varint(value):
    out = b''
    while value > 127:
        out += bytes([value & 127 | 128])
        value >>= 7
    return out + bytes([value])


def pack(**fields):
    """Packs a message; fN=value sets field N, a list repeats it."""
    out = b''
    for name, values in fields.items():
        number = int(name[1:])
        for value in values if isinstance(values, list) else [values]:
            if isinstance(value, int):
                out += varint(number << 3) + varint(value)
            else:
                data = value.encode() if isinstance(value, str) else value
                out += varint(number << 3 | 2) + varint(len(data)) + data
    return out


def frame(selector, data, wait=1):
    return bytes([selector, wait, len(data) & 255, len(data) >> 8]) + data


def write(target, name, data):
    (ROOT / target).mkdir(parents=True, exist_ok=True)
    (ROOT / target / name).write_bytes(data)


def envelope(sender, body, data, epoch=0):
    return pack(f1=sender, f3='cell', f4=epoch, f5=2, f6=1000, **{'f%d' % body: data})


def work(*args, **fields):
    return pack(f1='k', f2='a', f3=1, **fields)


def documents():
    for site in ('ertis', 'ballonerie'):
        path = pathlib.Path('examples') / site
        inventory = (path / 'inventory.yaml').read_bytes()
        rules = (path / 'rules.yaml').read_bytes()
        write('yaml', site + '-both', b'b' + inventory + b'\n%%\n' + rules)
        write('yaml', site + '-inventory', b'i' + inventory)
        write('yaml', site + '-rules', b'r' + rules)
        for role in ('agent', 'entry'):
            write('yaml', '%s-%s' % (site, role), b's' + (path / (role + '.yaml')).read_bytes())
    job = {'key': 'k', 'account': 'a', 'kind': 'edge', 'members': 2, 'accelerators': 4, 'adjacency': 'rack'}
    texts = [
        job,
        {'key': 'k', 'account': 'a', 'kind': 'quote', 'body_base64': '/wA='},
        {'version': 3, 'inventory': {'client_accounts': ['a']}, 'rules': {'reclaim_ms': 2000}},
        {'producer': 'e0', 'sequence': 1, 'job_submit': job},
        {'key': 'k', 'account': 'a', 'ran': 'yes', 'body': 'text', 'status': 200},
        {'entry': 'e0', 'cells': [{'cell': 'cell', 'jobs_queued': 3}]},
        {'name': 'e0', 'entries': [{'name': 'e0', 'address': '127.0.0.1:1'}]},
        {'base_version': 3, 'removed_kinds': ['edge']},
    ]
    for number, text in enumerate(texts):
        write('json', 'type-%d' % number, bytes([number]) + json.dumps(text).encode())


def agent():
    placement = [pack(f1='w0', f2=i, f3=i) for i in range(2)]
    reserve = frame(0, envelope('e0', 16, work(f4=5000, f5=placement, f6=4, f7=8), 5))
    job = pack(f1='k', f2='a', f3='edge', f4=2, f5=1, f6=4)
    start = frame(0, envelope('e0', 18, work(f4=job, f5=placement, f6=5000), 5))
    running = b''.join(frame(3, work(f4=i, f5=2)) for i in range(2))
    done = b''.join(frame(3, work(f4=i, f5=4)) for i in range(2))
    stop = frame(0, envelope('e0', 19, work(f4=20), 5))
    beat = frame(0, envelope('w1', 23, work(f4=1, f5=2)))
    verdict = frame(0, envelope('w1', 24, work(f4=1)))
    checkpoint = frame(0, envelope('e0', 31, work(f4=1000), 5))
    write('agent', 'gang-done', reserve + start + running + beat + done)
    write('agent', 'gang-stop', reserve + start + running + checkpoint + stop)
    write('agent', 'gang-verdict', reserve + start + verdict + frame(0, envelope('e1', 21, pack(f1=1), 7)))
    request = pack(f1='k', f2='a', f3='quote', f4='body', f5=900, f8=1)
    once = pack(f1='p', f2='a', f3='quote', f4='body', f5=900, f6=9, f7=1, f8=2)
    write('agent', 'serve', frame(1, envelope('e0', 13, request)) + frame(1, envelope('e1', 13, once))
          + frame(4, b'answer', 0) + frame(1, envelope('e0', 29, pack(f1='a', f2='k', f3=4)))
          + frame(1, envelope('e0', 15, pack(f1='a', f2='p'))) + frame(5, b'', 1))
    ack = pack(f1=1000, f2=3, f3=1)
    write('agent', 'home', frame(2, envelope('e0', 11, ack)) + frame(2, envelope('e1', 11, ack), 40)
          + frame(2, envelope('e0', 28, pack(f1=1))))


def entry():
    info = pack(f1='endpoint', f2='quote', f3=8, f4=60, f6=1)
    heartbeat = frame(0, envelope('w1', 10, pack(f2=1, f5=info, f6=1, f7=1)))
    agents = [pack(f1='w2', f2=1, f4=1, f5=2, f6=info), pack(f1='w3')]
    beat = frame(0, envelope('e1', 12, pack(f1='cell', f2=1, f6=agents, f8=1, f9=1, f10=7), 5))
    write('entry', 'peers', heartbeat + beat + frame(0, envelope('e1', 28, pack(f1=1)), 30)
          + frame(0, envelope('w1', 28, b'')))
    quote = frame(2, pack(f1='k', f2='a', f3='quote', f4='body'))
    answer = pack(f1='k', f2='a', f3=2, f5=200, f6='text', f7=4, f9=1)
    write('entry', 'quote', quote + frame(1, envelope('w0', 14, answer)) + frame(5, pack(f1='k', f2='a')))
    polish = frame(2, pack(f1='p', f2='a', f3='polish', f4='body'))
    reply = pack(f1='p', f2='a', f3=2, f5=200, f6='text', f7=4, f8=1, f9=1)
    write('entry', 'polish', polish + frame(4, b'', 2) + frame(1, envelope('w0', 14, reply)) + frame(4, b'', 2))
    write('entry', 'unproved', polish + frame(4, b'', 2) + frame(0, envelope('w0', 28, b''), 60)
          + frame(1, envelope('w0', 30, pack(f1=1))) + frame(6, pack(f1='p', f2='a')))
    write('entry', 'mainframe', frame(2, pack(f1='m', f2='a', f3='old')) + frame(4, b'', 2) + frame(4, b'', 3))
    claim = pack(f1='a', f2='p', f3='polish', f4='e1', f6=1, f7=1800000000000)
    record = pack(f1='e1', f2=1, f3=1700000000000, f16=claim)
    write('entry', 'other', frame(3, pack(f1=record)) + beat + polish + frame(8, b'', 1) + quote)


def records():
    job = pack(f1='k', f2='a', f3='edge', f4=2, f5=1, f11='cell')
    name = {'f1': 'cell', 'f2': 'k', 'f3': 'a'}
    bodies = [
        (11, pack(f1='cell', f2='e0')),
        (12, job),
        (13, pack(f4=1, f5=1, **name)),
        (15, pack(**name)),
        (14, pack(f4=3, f6=1, f7=60000, **name)),
        (16, pack(f1='a', f2='p', f3='polish', f4='e0', f6=7, f7=1800000000000)),
        (17, pack(f1='a', f2='p', f3=2, f5=200, f6='text', f7=6)),
        (18, pack(f1='w0', f2=1)),
        (18, pack(f1='w0')),
        (10, pack(f3=1, f4=pack(f1='z', f2='r'), f5=pack(f1='rack', f2='z', f3=pack(f1='w0', f3=60, f4=130, f5=8)),
                  f6='a', f7=pack(f1='a', f2=8), f8=pack(f1='edge', f3=1))),
        (10, pack(f1=10, f7=pack(f1='a', f2=4), f15='edge')),
    ]
    packed = [pack(f1='e0', f2=i + 1, f3=1700000000000 + i, **{'f%d' % body[0]: body[1]})
              for i, body in enumerate(bodies)]
    write('ledger', 'all', b''.join(frame(0, pack(f1=record)) for record in packed))
    write('ledger', 'batch', frame(0, pack(f1=packed)))
    write('ledger', 'repeated', frame(0, pack(f1=packed[:3])) + frame(0, pack(f1=packed[1:4])))
    snapshot = pack(f1=9, f2=pack(f1=3, f2=pack(f3='a'), f3=pack(f4=2000)), f3=pack(f1='cell', f2='e0', f3=1),
                    f4=pack(f1=job, f2=2, f4=1, f5=1, f6=2), f5=pack(f1=bodies[5][1], f2=6), f6=pack(f1='e0', f2=9),
                    f7='w0')
    chunks = [pack(f1=5, f2=i, f3=2, f4=part) for i, part in enumerate((snapshot[:40], snapshot[40:]))]
    write('snapshot', 'whole', frame(0, snapshot) + frame(0, snapshot))
    write('snapshot', 'chunks', frame(1, chunks[1]) + frame(1, chunks[0]) + frame(1, chunks[0]))
    write('snapshot', 'split', frame(16, snapshot) + frame(255, snapshot))


def sched():
    def job(key, kind, members=2, account='a', **more):
        body = pack(f1=key, f2=account, f3=kind, f4=members, f5=4, f6=4, f7=8, f8=1, f11='cell', f12=1500)
        return frame(1, pack(f1=body, f6=50, **more))

    def tasks(state, key='k', epoch=100, both=True):
        return [pack(f1=key, f2='a', f3=1, f4=i, f5=state, f6=[4 * i + n for n in range(4)], f12=epoch)
                for i in range(2 if both else 1)]

    def report(agent, epoch=100, **more):
        return frame(0, envelope(agent, 22, pack(f1=agent, f2=epoch, **more)))

    up = report('w0') + report('w1')
    name = pack(f1='k', f2='a')
    replies = b''.join(frame(0, envelope(w, 17, pack(f1='k', f2='a', f3=1, f4=1), 100)) for w in ('w0', 'w1'))
    running, done, stopped, failed = (
        b''.join(frame(0, envelope(w, 20, pack(f1=w, f2=tasks(state)))) for w in ('w0', 'w1')) for state in (2, 4, 6, 5))
    write('sched', 'done', up + job('k', 'edge') + replies + running + done + frame(5, b'') + frame(3, name))
    write('sched', 'once', up + job('k', 'once') + replies + frame(5, b'') + running + frame(8, b'w0') + stopped)
    write('sched', 'cancel', up + job('k', 'edge') + replies + running + frame(2, name) + stopped + frame(5, b'x'))
    write('sched', 'failed', up + job('k', 'edge') + replies + failed + frame(9, b'w0') + frame(0, b'', 20))
    write('sched', 'urgent', up + job('k', 'edge', 4) + job('r', 'rush', 1, 'b') + replies + running + stopped)
    write('sched', 'takeover', up + job('k', 'once') + frame(6, b'x') + frame(4, name) + frame(6, b'')
          + report('w0', 101, f3=tasks(2)) + job('r', 'rush', 1) + frame(0, b'', 40)
          + frame(0, envelope('w1', 32, pack(f1=200))))


def event(time, process, name, **fields):
    return json.dumps({'t': time, 'p': process, 'ev': name, **fields}, separators=(',', ':'))


def trace():
    key = {'account': 'a', 'key': 'k'}
    gang = {**key, 'attempt': 1, 'member': 0, 'members': 2, 'instance': 'w0'}
    jobs = [event(1, 'w0', 'start', role='agent', incarnation=1, instance='w0'),
            event(2, 'e0', 'epoch', cell='cell', epoch=5, entry='e0'),
            event(3, 'e0', 'reserve', cell='cell', epoch=5, attempt=1, members=['w0'], **key),
            event(4, 'w0', 'task_start', accels=[0], epoch=5, **gang),
            event(5, 'w0', 'task_running', **gang),
            event(9000, 'w0', 'task_end', state='stopped', reason='member_lost', **gang),
            event(9001, 'e0', 'reclaim', for_account='b', for_key='j', urgent=True, **key),
            event(9500, 'e0', 'reclaimed', for_account='b', for_key='j', took_ms=499)]
    requests = [event(1, 'e0', 'req_accept', id=1, kind='polish', not_repeatable=True, **key),
                event(2, 'e0', 'req_claim', claim=4, **key),
                event(3, 'e0', 'req_dispatch', agent='w0', attempt=1, **key),
                event(4, 'w0', 'req_run', instance='w0', **key),
                event(5, 'x', 'endpoint_run', kind='polish', **key),
                event(6, 'x', 'endpoint_done', hash='ab', **key),
                event(7, 'w0', 'req_ran', instance='w0', status=200, hash='ab', **key),
                event(8, 'e0', 'req_answer', id=1, hash='ab', length=4, **key),
                event(9, 'w0', 'leaving', instance='w0'),
                event(10, 'w0', 'term', in_flight=0), event(11, 'w0', 'exit', in_flight=0),
                event(12, 'e0', 'config_accepted', version=3, base=0), event(13, 'w0', 'config', version=3)]
    accept = event(1, 'e0', 'job_accept', members=1, accelerators=1, offset=3, urgent=True, submitted_ms=1, **key)
    write('trace', 'urgent', '\n'.join([accept, *jobs[3:6], event(9002, 'e0', 'urgent_lost', **key)]).encode())
    write('trace', 'jobs', '\n'.join(jobs).encode())
    write('trace', 'requests', '\n'.join(requests).encode())


documents()
agent()
entry()
records()
sched()
trace()
