export * from './app.js';
export * from './exit-codes.js';
