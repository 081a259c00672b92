/** Valid sample texts, which tests modify to introduce faults, and a helper for expected errors. */
import type { Result } from 'neverthrow';

/** Returns the error of a result. Throws when the result is ok. */
export function unwrapError<T, E>(result: Result<T, E>): E {
  if (result.isOk()) throw new Error('expected an error result, got an ok result');
  return result.error;
}

export const NODE_TEXT = `[node]
vm = vm-1
data_centre = almaty-a
region = almaty
listen = 10.0.0.1:8080
peer_listen = 10.0.0.1:7080
admin_listen = 10.0.0.1:9080
peer_secret = correct-horse

[platform]
object_api = 10.0.9.1:8500
vm_list = 10.0.9.2:8600

[limits]
max_body_bytes = 1048576
`;

export const POOLS_TEXT = `[pool scribe]
kind = model
model = scribe-70b

[upstream scribe-p1]
pool = scribe
role = prefill
data_centre = almaty-a
address = 10.1.0.1:9000

[upstream scribe-d1]
pool = scribe
role = decode
data_centre = almaty-a
address = 10.1.0.2:9000
memory_blocks = 400

[pool desk]
kind = plain

[upstream desk-1]
pool = desk
data_centre = almaty-a
address = 10.1.0.3:9000
`;

export const ROUTES_TEXT = `[route chat]
path = /v1/chat/completions
model = scribe-70b
organisations = survey-team, crew-office
pool = scribe

[route bookings]
path = /bookings/*
methods = POST
organisations = crew-office
pool = desk

[route plans]
path = /plans/*
organisations = *
pool = desk
idempotent = yes
urgency = urgent
`;
